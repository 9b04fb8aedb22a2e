// Package platform is a stand-in for the platform's services: the table service (a subset of the
// DynamoDB JSON protocol), the host list (Prometheus HTTP service discovery) and the weight store. A
// control endpoint injects faults.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Options configures a Server. Zero values mean no lag, no limit and no delay.
type Options struct {
	Hosts       []Host
	Lag         time.Duration // age of the host list that /hosts shows
	WeightRate  float64       // loads a second that the weight store allows; unlimited if zero
	WeightSlots int           // loads at once that the weight store allows; unlimited if zero
	WeightTime  time.Duration // time of one load
	PageSize    int           // most rows in one page of a query; 1000 if zero
	Now         func() time.Time
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	opts    Options
	router  *mux.Router
	table   *table
	hosts   *hosts
	weights *weights

	mu     sync.Mutex
	faults faults
	stats  Stats
}

type faults struct {
	away        bool
	hang        bool
	delay       time.Duration
	loseAnswers int
}

// Stats counts the calls since the start.
type Stats struct {
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	WritesApplied int64 `json:"writes_applied"`
	AnswersLost   int64 `json:"answers_lost"`
	HostReads     int64 `json:"host_reads"`
	WeightLoads   int64 `json:"weight_loads"`
	WeightRefused int64 `json:"weight_refused"`
}

// Control is the body of POST /control. Absent fields change nothing.
type Control struct {
	Away        *bool   `json:"away,omitempty"`         // the table service answers 503
	Hang        *bool   `json:"hang,omitempty"`         // the table service gives no answer at all
	DelayMS     *int64  `json:"delay_ms,omitempty"`     // delay of each table service call, milliseconds
	LoseAnswers *int    `json:"lose_answers,omitempty"` // writes that take effect but are not answered
	LagMS       *int64  `json:"lag_ms,omitempty"`       // lag of the host list, milliseconds
	Hosts       *[]Host `json:"hosts,omitempty"`        // replaces the host list
	SetHost     *Host   `json:"set_host,omitempty"`     // adds or replaces one host by its address
	RemoveHost  *string `json:"remove_host,omitempty"`  // removes the host with this address
}

// New returns a server.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.PageSize <= 0 {
		opts.PageSize = 1000
	}
	s := &Server{
		opts:    opts,
		router:  mux.NewRouter(),
		table:   newTable(),
		hosts:   newHosts(opts.Hosts, opts.Lag, opts.Now),
		weights: &weights{rate: opts.WeightRate, slots: opts.WeightSlots, now: opts.Now},
	}
	s.router.HandleFunc("/", s.serveTable).Methods(http.MethodPost)
	s.router.HandleFunc("/hosts", s.serveHosts).Methods(http.MethodGet)
	s.router.HandleFunc("/weights/{name:.+}", s.serveWeights).Methods(http.MethodGet)
	s.router.HandleFunc("/control", s.serveControl).Methods(http.MethodPost)
	s.router.HandleFunc("/control/stats", s.serveStats).Methods(http.MethodGet)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) count(add func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.stats)
}

// Apply carries out a control order.
func (s *Server) Apply(c Control) {
	s.mu.Lock()
	setIf(&s.faults.away, c.Away)
	setIf(&s.faults.hang, c.Hang)
	setIf(&s.faults.loseAnswers, c.LoseAnswers)
	if c.DelayMS != nil {
		s.faults.delay = time.Duration(*c.DelayMS) * time.Millisecond
	}
	s.mu.Unlock()
	s.hosts.apply(c)
}

func setIf[T any](into *T, from *T) {
	if from != nil {
		*into = *from
	}
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Apply(c)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Stats())
}
