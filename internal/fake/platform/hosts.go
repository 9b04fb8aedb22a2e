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

// Host is one process in the host list.
type Host struct {
	Address    string `json:"address"` // peer address, IP:port
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`  // gateway or sidecar
	State      string `json:"state"` // live or leaving; live if empty
}

// targetGroup is a target group in the format of Prometheus HTTP service discovery.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// hostHistory keeps all versions of the host list, so that it can be served with a lag.
type hostHistory struct {
	now func() time.Time

	mu      sync.Mutex
	lag     time.Duration
	history []hostListVersion
}

type hostListVersion struct {
	at      time.Time
	list    []Host
	encoded *encodedHosts // nil until the first read
}

func newHostHistory(list []Host, lag time.Duration, now func() time.Time) *hostHistory {
	return &hostHistory{now: now, lag: lag, history: []hostListVersion{{at: time.Time{}, list: slices.Clone(list)}}}
}

func (h *hostHistory) apply(c Control) {
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
	h.history = append(h.history, hostListVersion{at: h.now(), list: list})
}

// visible returns the list as it was one lag ago, or the first list if there was none yet.
func (h *hostHistory) visible() (*encodedHosts, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cutoff := h.now().Add(-h.lag)
	latest := 0
	for i, entry := range h.history {
		if !entry.at.After(cutoff) {
			latest = i
		}
	}
	entry := &h.history[latest]
	if entry.encoded == nil {
		encoded, err := encodeHosts(entry.list)
		if err != nil {
			return nil, err
		}
		entry.encoded = encoded
	}
	return entry.encoded, nil
}

// encodedHosts is a host list encoded for the response, uncompressed and compressed.
type encodedHosts struct {
	plain, gzipped []byte
	entityTag      string // weak, because both encodings share it
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
	var gzipped bytes.Buffer
	w := gzip.NewWriter(&gzipped)
	_, err = w.Write(plain)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, fmt.Errorf("compress host list: %w", err)
	}
	entityTag := fmt.Sprintf(`W/"%016x"`, xxhash.Sum64(plain))
	return &encodedHosts{plain: plain, gzipped: gzipped.Bytes(), entityTag: entityTag}, nil
}

// serveHosts supports conditional requests by entity tag, and compresses the response if the client accepts gzip.
func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	s.updateStats(func(st *Stats) { st.HostReads++ })
	list, err := s.hostHistory.visible()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", list.entityTag)
	w.Header().Set("Vary", "Accept-Encoding")
	body := list.plain
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		body = list.gzipped
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}
