package platform

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	at      time.Time
	list    []Host
	encoded *encodedHosts // nil until the first read
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
func (h *hosts) visible() (*encodedHosts, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cutoff := h.now().Add(-h.lag)
	shown := 0
	for i, entry := range h.history {
		if !entry.at.After(cutoff) {
			shown = i
		}
	}
	entry := &h.history[shown]
	if entry.encoded == nil {
		encoded, err := encodeHosts(entry.list)
		if err != nil {
			return nil, err
		}
		entry.encoded = encoded
	}
	return entry.encoded, nil
}

// encodedHosts is a list as it is sent.
type encodedHosts struct {
	plain, zipped []byte
	tag           string // weak, because it stands for both forms
}

func encodeHosts(list []Host) (*encodedHosts, error) {
	groups := []targetGroup{}
	for _, h := range list {
		state := h.State
		if state == "" {
			state = "live"
		}
		groups = append(groups, targetGroup{
			Targets: []string{h.Address},
			Labels:  map[string]string{"host": h.Host, "data_centre": h.DataCentre, "role": h.Role, "state": state},
		})
	}
	plain, err := json.Marshal(groups)
	if err != nil {
		return nil, fmt.Errorf("encode host list: %w", err)
	}
	var zipped bytes.Buffer
	w := gzip.NewWriter(&zipped)
	_, err = w.Write(plain)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, fmt.Errorf("compress host list: %w", err)
	}
	tag := fmt.Sprintf(`W/"%016x"`, xxhash.Sum64(plain))
	return &encodedHosts{plain: plain, zipped: zipped.Bytes(), tag: tag}, nil
}

// serveHosts answers with entity tag, conditionally, and compressed if the reader takes it.
func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	s.count(func(st *Stats) { st.HostReads++ })
	list, err := s.hosts.visible()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", list.tag)
	w.Header().Set("Vary", "Accept-Encoding")
	body := list.plain
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		body = list.zipped
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}
