// Package platform implements a fake of the platform's services for tests: the table service (a subset of the
// DynamoDB JSON protocol), the host list (Prometheus HTTP service discovery) and the weight store. A control
// endpoint injects faults.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Options configures a Server. With zero values there is no lag, no limit on loads and no delay.
type Options struct {
	Hosts       []Host
	Lag         time.Duration    // age of the host list that /hosts returns
	WeightRate  float64          // loads per second that the weight store allows; 0 for no limit
	WeightSlots int              // concurrent loads that the weight store allows; 0 for no limit
	WeightTime  time.Duration    // duration of one load
	PageSize    int              // maximum number of items in one page of a query; 1000 if zero
	Now         func() time.Time // clock; time.Now if nil
}

// Server is a fake of the platform's services. It implements http.Handler.
type Server struct {
	opts        Options
	router      *mux.Router
	table       *table
	hostHistory *hostHistory
	loadLimiter *loadLimiter

	mu     sync.Mutex
	faults faults
	stats  Stats
}

type faults struct {
	unavailable bool
	hang        bool
	delay       time.Duration
	loseAnswers int
}

// Stats counts the requests since the start.
type Stats struct {
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	WritesApplied int64 `json:"writes_applied"`
	AnswersLost   int64 `json:"answers_lost"`
	HostReads     int64 `json:"host_reads"`
	WeightLoads   int64 `json:"weight_loads"`
	WeightRefused int64 `json:"weight_refused"`
}

// Control is the body of POST /control. An absent field leaves its setting unchanged.
type Control struct {
	Unavailable *bool   `json:"away,omitempty"`         // the table service answers 503
	Hang        *bool   `json:"hang,omitempty"`         // the table service sends no response
	DelayMS     *int64  `json:"delay_ms,omitempty"`     // delay of each table service request, milliseconds
	LoseAnswers *int    `json:"lose_answers,omitempty"` // number of next writes that take effect but get no response
	LagMS       *int64  `json:"lag_ms,omitempty"`       // lag of the host list, milliseconds
	Hosts       *[]Host `json:"hosts,omitempty"`        // replaces the host list
	SetHost     *Host   `json:"set_host,omitempty"`     // adds or replaces one host by its address
	RemoveHost  *string `json:"remove_host,omitempty"`  // removes the host with this address
}

// New returns a server with the hosts of opts and an empty table.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.PageSize <= 0 {
		opts.PageSize = 1000
	}
	s := &Server{
		opts:        opts,
		router:      mux.NewRouter(),
		table:       newTable(),
		hostHistory: newHostHistory(opts.Hosts, opts.Lag, opts.Now),
		loadLimiter: &loadLimiter{rate: opts.WeightRate, slots: opts.WeightSlots, now: opts.Now},
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

// Stats returns the counts that GET /control/stats reports.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) updateStats(add func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.stats)
}

// Apply changes the faults and the host list as POST /control does.
func (s *Server) Apply(c Control) {
	s.mu.Lock()
	setIfPresent(&s.faults.unavailable, c.Unavailable)
	setIfPresent(&s.faults.hang, c.Hang)
	setIfPresent(&s.faults.loseAnswers, c.LoseAnswers)
	if c.DelayMS != nil {
		s.faults.delay = time.Duration(*c.DelayMS) * time.Millisecond
	}
	s.mu.Unlock()
	s.hostHistory.apply(c)
}

func setIfPresent[T any](target *T, from *T) {
	if from != nil {
		*target = *from
	}
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
