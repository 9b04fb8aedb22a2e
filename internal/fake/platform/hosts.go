package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Host is one entry of the host list.
type Host struct {
	Address    string `json:"address"` // peer address, IP:port
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`  // gateway or sidecar
	State      string `json:"state"` // live or leaving; live if empty
}

// targetGroup is the Prometheus HTTP service discovery form.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// hosts keeps the history of the list, so that readers see it with a lag.
type hosts struct {
	now func() time.Time

	mu      sync.Mutex
	lag     time.Duration
	history []hostsAt
}

type hostsAt struct {
	at   time.Time
	list []Host
}

func newHosts(list []Host, lag time.Duration, now func() time.Time) *hosts {
	return &hosts{now: now, lag: lag, history: []hostsAt{{at: time.Time{}, list: slices.Clone(list)}}}
}

func (h *hosts) apply(c Control) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.LagMS != nil {
		h.lag = time.Duration(*c.LagMS) * time.Millisecond
	}
	if c.Hosts == nil && c.SetHost == nil && c.RemoveHost == nil {
		return
	}
	list := slices.Clone(h.history[len(h.history)-1].list)
	if c.Hosts != nil {
		list = slices.Clone(*c.Hosts)
	}
	if c.RemoveHost != nil {
		list = slices.DeleteFunc(list, func(x Host) bool { return x.Address == *c.RemoveHost })
	}
	if c.SetHost != nil {
		list = slices.DeleteFunc(list, func(x Host) bool { return x.Address == c.SetHost.Address })
		list = append(list, *c.SetHost)
	}
	h.history = append(h.history, hostsAt{at: h.now(), list: list})
}

// visible returns the list as it was one lag ago.
func (h *hosts) visible() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	cutoff := h.now().Add(-h.lag)
	shown := 0
	for i, entry := range h.history {
		if !entry.at.After(cutoff) {
			shown = i
		}
	}
	return h.history[shown].list
}

func (s *Server) serveHosts(w http.ResponseWriter, _ *http.Request) {
	s.count(func(st *Stats) { st.HostReads++ })
	groups := []targetGroup{}
	for _, h := range s.hosts.visible() {
		state := h.State
		if state == "" {
			state = "live"
		}
		groups = append(groups, targetGroup{
			Targets: []string{h.Address},
			Labels:  map[string]string{"host": h.Host, "data_centre": h.DataCentre, "role": h.Role, "state": state},
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(groups)
}
