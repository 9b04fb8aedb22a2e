package config_test

import (
	"bytes"
	"testing"

	"github.com/pomelowheel/pomelowheel/internal/config"
)

// FuzzApply guards against entities of a peer, or of the change log, that end the process, take the configuration back or give
// a key to a caller that does not have it.
func FuzzApply(f *testing.F) {
	nested := bytes.Repeat([]byte("["), 10_001)
	for _, kind := range append(config.Kinds(), "other") {
		f.Add(string(kind), "k", int64(1<<62), []byte(`{"id":"k","name":"k","digest":"d","organisation":"o","rate":1e308,"burst":9223372036854775807}`))
		f.Add(string(kind), "\xe2\x82", int64(-1<<63), []byte(`{"id":"other","digest":"","memory_mb":-9223372036854775808,"rate":-1e308}`))
		f.Add(string(kind), "", int64(2), nested)
		f.Add(string(kind), "k", int64(2), []byte(`{"burst":9223372036854775808,"rate":NaN}`))
		f.Add(string(kind), "k", int64(2), []byte(`null`))
	}
	f.Fuzz(func(t *testing.T, kind, name string, version int64, value []byte) {
		base, err := new(config.Snapshot).Apply(5, []config.Entity{
			{Kind: config.KindKey, Name: "secret", Version: 5, Value: []byte(`{"id":"secret","organisation":"o","digest":"` + config.Digest("secret") + `"}`)},
		})
		if err != nil {
			t.Fatal(err)
		}
		e := config.Entity{Kind: config.Kind(kind), Name: name, Version: version, Value: value}
		next, err := base.Apply(version, []config.Entity{e})
		if err != nil {
			return
		}
		if next.Version() < base.Version() || base.Version() != 5 {
			t.Fatalf("version %d after %d", next.Version(), base.Version())
		}
		if _, ok := next.Entity(e.ID()); !ok {
			t.Fatalf("%v is not there", e.ID())
		}
		if key, ok := next.FindKey("secret"); ok && key.Digest != config.Digest("secret") {
			t.Fatalf("key %+v", key)
		}
		next.Models()
		next.Keys()
		next.Since(0)
	})
}
