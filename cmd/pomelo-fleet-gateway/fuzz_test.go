package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetprocess"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

// fuzzConfiguration has an organisation with a limit and a service with a model engine.
const fuzzConfiguration = `{"version":1,"services":[{"name":"s","cold_per_s":8,"engine":{"slots":8,"weights_mb":300,
"loads_per_s":1,"models":[{"name":"m","weights_mb":90,"load_s":1}]}}],"tenants":[{"name":"o","api_keys":["key"],
"unit":"tokens","rate_per_s":10,"burst":100}],"routes":[{"name":"r","hostname":"h","path_prefix":"/","type":"safe",
"service":"s"}]}`

// newFuzzGateway returns a gateway with a configuration. None of its background tasks run.
func newFuzzGateway(t *testing.T, settings string) *gateway {
	var g *gateway
	fleetprocess.Main("gateway", []string{"-config", settings}, io.Discard, os.Stderr,
		func(_ context.Context, s *fleetprocess.Settings, _ *slog.Logger) (err error) {
			g, err = newGateway(s, slog.New(slog.DiscardHandler))
			return err
		})
	if g == nil {
		t.Fatal("no gateway")
	}
	t.Cleanup(func() { _ = g.peerListener.Close() })
	g.follower.Apply([]platform.Row{
		{Table: "op", Key: "config", Value: []byte(fuzzConfiguration), Version: 1},
		{Table: "servers", Key: "i-1", Version: 2,
			Value: []byte(`{"service":"s","address":"127.0.0.1:1","zone":"a","state":"ready","slots":8}`)},
	}, false)
	return g
}

// fuzzSettings returns the path of a settings file.
func fuzzSettings(f testing.TB) string {
	path := filepath.Join(f.TempDir(), "settings.json")
	text := `{"node_name":"edge-1","ip":"127.0.0.1","port_range":[1,2],"provider":{"address":"127.0.0.1:1"},
		"listen":{"front":"127.0.0.1:3","control":"127.0.0.1:0"}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.Fatal(err)
	}
	return path
}

// checkLimits fails if an organisation's limit admits anything or a valid request is never admitted again.
func checkLimits(t *testing.T, g *gateway) {
	o := g.view.Organisation("o")
	if o == nil {
		return // replaced by a configuration of the peer
	}
	if o.Rate != 10 || o.Burst != 100 {
		return
	}
	_, wait, level := g.limits.Take(o, 1)
	if math.IsNaN(level) || level > o.Burst || level < -2*o.Burst || wait < 0 || wait > time.Minute {
		t.Fatalf("the organisation's bucket holds %v of %v, wait %v", level, o.Burst, wait)
	}
	if ok, wait, level := g.limits.Take(o, 1e6); ok {
		t.Fatalf("a request far above the burst was admitted (wait %v, level %v)", wait, level)
	}
}

// FuzzPeer guards against frames of a peer that end the process, make a limit void or fill the memory.
func FuzzPeer(f *testing.F) {
	settings := fuzzSettings(f)
	f.Fuzz(func(t *testing.T, frames []byte) { receiveFrames(t, settings, frames) })
}

// Guards against an update that makes a gateway keep thousands of goroutines and transfers. It is too large for the corpus.
func TestAnUpdateWithManyAddressesIsBounded(t *testing.T) {
	many := &wirepb.PeerUpdate{Identity: &wirepb.Identity{Host: "h", Address: "127.0.0.1:9"}}
	for i := range 20_000 {
		many.Members = append(many.Members, fmt.Sprintf("127.0.0.1:%d", i))
		many.Offers = append(many.Offers, &wirepb.RowOffer{Table: "op", Key: fmt.Sprint(i), Version: 1})
	}
	var frames bytes.Buffer
	if err := wire.Write(&frames, wire.PeerUpdate(many)); err != nil {
		t.Fatal(err)
	}
	receiveFrames(t, fuzzSettings(t), frames.Bytes())
}

// receiveFrames passes frames of a peer to a gateway and checks it afterwards.
func receiveFrames(t *testing.T, settings string, frames []byte) {
	g := newFuzzGateway(t, settings)
	ours, theirs := net.Pipe()
	go func() {
		_, _ = theirs.Write(frames)
		_ = theirs.Close()
	}()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.handlePeer(ctx, &transport.Stream{Conn: ours})
	_ = ours.Close()
	if known := g.mesh.KnownCount(); known > 5000 {
		t.Fatalf("%d gateways are known", known)
	}
	checkLimits(t, g)
	for name, v := range g.vars() {
		if text := v.String(); !json.Valid([]byte(text)) {
			t.Fatalf("variable %s: %s", name, text)
		}
	}
}

// FuzzRequest guards against a caller's request that ends the process or takes long, and an answer that holds the caller's key.
func FuzzRequest(f *testing.F) {
	settings := fuzzSettings(f)
	f.Fuzz(func(t *testing.T, head []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			return
		}
		g := newFuzzGateway(t, settings)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		w := httptest.NewRecorder()
		start := time.Now()
		func() {
			defer func() {
				if cause := recover(); cause != nil && cause != http.ErrAbortHandler { // net/http closes the connection
					panic(cause)
				}
			}()
			g.server.ServeHTTP(w, r.WithContext(ctx))
		}()
		if took := time.Since(start); took > 5*time.Second || w.Code < 200 || w.Code > 599 {
			t.Fatalf("status %d after %v", w.Code, took)
		}
		if _, key, ok := strings.Cut(r.Header.Get("Authorization"), " "); ok && len(key) > 8 && bytes.Contains(w.Body.Bytes(), []byte(key)) {
			t.Fatalf("the key is in the answer: %s", w.Body)
		}
	})
}
