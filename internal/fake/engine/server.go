package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

// Causes with which requests are cancelled.
var (
	errCrashed   = errors.New("the engine crashed under overload")
	errRestarted = errors.New("the engine restarted")
)

// Server is a fake model engine. It implements http.Handler.
type Server struct {
	opts    Options
	handler http.Handler

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced when the batch, the faults or the models change
	incarnation   string
	startedAt     time.Time
	downUntil     time.Time
	crashes       int
	mem           *memory
	cache         *prefixCache
	batch         batch
	fencingNumber int64
	adapterLoads  int // adapter loads in flight
	badResumes    int
	faults        Faults
	recorder      standin.Recorder
}

// New returns a cold server with the models of opts loaded.
func New(opts Options) *Server {
	s := &Server{opts: opts.withDefaults(), changed: make(chan struct{})}
	s.startLocked(s.opts.Models)
	r := mux.NewRouter()
	r.HandleFunc("/control", s.handleControl).Methods(http.MethodPost)
	r.Handle("/control/requests", &s.recorder).Methods(http.MethodGet)
	api := r.NewRoute().Subrouter()
	api.Use(s.observe)
	api.HandleFunc("/v1/chat/completions", s.handleChat).Methods(http.MethodPost)
	api.HandleFunc("/v1/models", s.handleModels).Methods(http.MethodGet)
	api.HandleFunc("/v1/load_lora_adapter", s.handleLoadAdapter).Methods(http.MethodPost)
	api.HandleFunc("/v1/unload_lora_adapter", s.handleUnloadAdapter).Methods(http.MethodPost)
	api.HandleFunc("/v2/repository/index", s.handleIndex).Methods(http.MethodPost)
	api.HandleFunc("/v2/repository/models/{name:.+}/{action:load|unload}", s.handleOrder).Methods(http.MethodPost)
	api.HandleFunc("/engine/state", s.handleState).Methods(http.MethodGet)
	api.HandleFunc("/health", s.handleHealth).Methods(http.MethodGet)
	s.handler = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Restart cancels every request and starts cold: new incarnation, no models, no fencing number.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartLocked()
}

func (s *Server) restartLocked() {
	s.batch.cancelAll(errRestarted)
	s.startLocked(nil)
	s.opts.Logger.Info("engine restarted cold, no models loaded", "incarnation", s.incarnation)
}

func (s *Server) startLocked(models []Model) {
	o := s.opts
	o.Models = models
	// The batch is not reset here: each cancelled request removes itself.
	previousHighMB := int64(0)
	if s.mem != nil {
		previousHighMB = s.mem.highWaterMB
	}
	s.mem = newMemory(o)
	s.mem.highWaterMB = max(s.mem.highWaterMB, previousHighMB)
	s.cache = newPrefixCache(o.CacheBlocks)
	s.incarnation = uuid.NewString()
	s.startedAt = time.Now()
	s.downUntil = time.Time{}
	s.fencingNumber = 0
	s.signalLocked()
}

// signalLocked wakes the requests that wait for a change of the batch, the faults or the models.
func (s *Server) signalLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// warmUpProgressLocked is 0 right after a start and 1 after WarmUp.
func (s *Server) warmUpProgressLocked() float64 {
	if s.opts.WarmUp <= 0 {
		return 1
	}
	return min(1, max(0, float64(time.Since(s.startedAt))/float64(s.opts.WarmUp)))
}

// overloadLimitLocked is the number of concurrent requests above which the server crashes; 0 for no limit.
func (s *Server) overloadLimitLocked() int {
	progress := s.warmUpProgressLocked()
	if progress == 1 || s.opts.OverloadLimitCold == 0 {
		return s.opts.OverloadLimitWarm
	}
	return s.opts.OverloadLimitCold + int(progress*float64(s.opts.OverloadLimitWarm-s.opts.OverloadLimitCold))
}

// slowdownLocked is the factor on token times, from the cold start and the number of running requests.
func (s *Server) slowdownLocked() float64 {
	cold := s.opts.ColdFactor + (1-s.opts.ColdFactor)*s.warmUpProgressLocked()
	return cold * (1 + s.opts.BatchSlowdown*float64(max(0, s.batch.runningCount()-1)))
}

// crashLocked simulates a crash under overload: it cancels every request. The server is unavailable for DownTime and
// then cold.
func (s *Server) crashLocked() {
	s.crashes++
	s.batch.cancelAll(errCrashed)
	s.downUntil = time.Now().Add(s.opts.DownTime)
	s.startedAt = s.downUntil
	s.cache = newPrefixCache(s.opts.CacheBlocks)
	s.opts.Logger.Warn("engine crashed under overload, all requests dropped", "times", s.crashes, "down_time", s.opts.DownTime)
}

// pause waits for d. It returns the cause of ctx if ctx is cancelled first.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

// writeError writes an error response in the format of the chat-completions API.
func writeError(w http.ResponseWriter, status int, message string) {
	standin.WriteJSON(w, status, map[string]any{
		"error": map[string]any{"message": message, "type": http.StatusText(status), "code": status},
	})
}
