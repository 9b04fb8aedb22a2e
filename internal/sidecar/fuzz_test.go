package sidecar

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// newFuzzServer returns a running sidecar of a backend server that answers each request with an empty object.
func newFuzzServer(f *testing.F, kind string) *Server {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
	f.Cleanup(backend.Close)
	c := &mutableConfig{snapshot: new(config.Snapshot)}
	c.set(config.Organisation{Name: "o"}, config.Key{ID: "x", Organisation: "o", Digest: "d"}, config.Profile{Name: "x", DeadlineMS: 60_000},
		config.DataCentre{Name: "dc"}, config.Service{Name: "x", Kind: config.ServiceKind(kind), Profile: "x"},
		config.Model{Name: "m", Service: "x", MemoryMB: 400, KVTokenKB: 64, MinCopies: 1})
	s := New(Options{
		Settings: &settings.Sidecar{
			Process: settings.Process{Host: "h", DataCentre: "dc"},
			Backend: settings.Backend{Service: "x", Kind: kind, URL: backend.URL, MemoryMB: 1000, ChecksOrders: true,
				AdapterSlots: 4, PollInterval: settings.Duration(10 * time.Millisecond)},
			TableService: settings.TableService{Timeout: settings.Duration(time.Second)},
			Admission: settings.Admission{Policy: "fair", ColdConcurrency: 1, MaxConcurrency: 4,
				RampStep: settings.Duration(time.Hour), MaxQueue: 2, BatchConcurrency: 1},
			Shutdown: settings.Shutdown{Grace: settings.Duration(time.Second)},
		},
		Config: c, Store: &fakeStore{rows: map[tablestore.Key]tablestore.Row{}}, Log: slog.New(slog.DiscardHandler), Incarnation: "i",
		Address: "127.0.0.1:1",
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	f.Cleanup(func() { cancel(); <-done })
	return s
}

// FuzzHandle guards against frames of a gateway that end the sidecar or keep it from answering others.
func FuzzHandle(f *testing.F) {
	RegisterTestingT(f)
	servers := []*Server{newFuzzServer(f, "plain"), newFuzzServer(f, kindModel)}
	f.Fuzz(func(t *testing.T, frames []byte) {
		for _, s := range servers {
			ours, theirs := net.Pipe()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			go func() { _, _ = io.Copy(io.Discard, theirs) }() // a pipe has no buffer
			go func() {
				_, _ = theirs.Write(frames)
				time.Sleep(5 * time.Millisecond) // for the answer to a valid request
				_ = theirs.Close()
			}()
			s.Handle(ctx, &transport.Stream{Conn: ours})
			_ = ours.Close()
			cancel()
			request := &wirepb.Envelope{Message: &wirepb.Envelope_StatusRequest{StatusRequest: new(wirepb.StatusRequest)}}
			if status := s.replyTo(context.Background(), request).GetStatus(); status.GetQueued() < 0 || status.GetRunning() < 0 {
				t.Fatalf("%v", status)
			}
		}
	})
}
