package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// FuzzLoad guards against a settings file that ends the process instead of leaving a reason.
func FuzzLoad(f *testing.F) {
	names, err := filepath.Glob("testdata/*.yml")
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		path := filepath.Join(t.TempDir(), "settings.yml")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, _ = LoadGateway(path)
		_, _ = LoadSidecar(path)
		if took := time.Since(start); took > 10*time.Second {
			t.Fatalf("%d bytes took %v", len(data), took)
		}
	})
}
