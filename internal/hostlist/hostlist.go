// Package hostlist is the client of the platform's host list, which is served in the Prometheus HTTP
// service discovery form. The list lags and can be away; the last list read stays in use.
package hostlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	defaultInterval = 2 * time.Second
	readTimeout     = 2 * time.Second
	maxBodyBytes    = 4 << 20
	maxHosts        = 20000
	// A host counts as removed after it was absent from this many lists in a row, because takeovers rest
	// on it and one list may be cut short.
	absencesToRemove = 2
	// removedFor bounds how long a removed host is remembered.
	removedFor = 24 * time.Hour

	roleGateway  = "gateway"
	roleSidecar  = "sidecar"
	stateLive    = "live"
	stateLeaving = "leaving"
)

// errEmpty says that the list is empty although hosts were listed before.
var errEmpty = errors.New("host list is empty")

// Host is one entry of the list.
type Host struct {
	Address    string // peer address, IP:port
	Host       string
	DataCentre string
	Role       string // gateway or sidecar
	Leaving    bool
}

// Options configures a List.
type Options struct {
	URL      string
	Interval time.Duration // between two reads, before jitter; 2 s if zero
	Client   *http.Client  // http.DefaultClient if nil
	Log      *slog.Logger
	Now      func() time.Time // time.Now if nil
}

// List is the last host list read. It is safe for use by several goroutines.
type List struct {
	opts Options

	mu      sync.Mutex
	hosts   map[string]listed
	last    []Host // of the last read
	tag     string // entity tag of the last read; empty if there was none
	removed map[string]time.Time
	read    bool
	readAt  time.Time
}

type listed struct {
	Host
	absences int
}

// New returns an empty list.
func New(opts Options) *List {
	if opts.Interval <= 0 {
		opts.Interval = defaultInterval
	}
	if opts.Client == nil {
		opts.Client = http.DefaultClient
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	return &List{opts: opts, hosts: make(map[string]listed), removed: make(map[string]time.Time)}
}

// Run reads the list in a loop until ctx ends.
func (l *List) Run(ctx context.Context) error {
	failing := false
	for {
		err := l.Poll(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if (err != nil) != failing {
			failing = err != nil
			l.opts.Log.Info("host list", "failing", failing, "error", err)
		}
		// The gateways of a data centre that start together must not stay in step.
		timer := time.NewTimer(l.opts.Interval/2 + rand.N(l.opts.Interval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// Poll reads the list once. After an error the previous list stays in use. The read is conditional on the
// entity tag of the last one (RFC 9110, section 13.1.2), so a list that did not change is not sent again.
// net/http asks for compression.
func (l *List) Poll(ctx context.Context) error {
	sent := l.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.opts.URL, nil)
	if err != nil {
		return fmt.Errorf("read host list: %w", err)
	}
	known, tag := l.known()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := l.opts.Client.Do(request)
	if err != nil {
		return fmt.Errorf("read host list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified && tag != "" {
		return l.set(known, tag, sent)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("read host list: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return fmt.Errorf("read host list: %w", err)
	}
	hosts, err := Parse(body)
	if err != nil {
		return err
	}
	return l.set(hosts, response.Header.Get("ETag"), sent)
}

func (l *List) known() (hosts []Host, tag string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last, l.tag
}

// Parse decodes a list. It fails as a whole on an entry that is not valid.
func Parse(body []byte) ([]Host, error) {
	if len(body) > maxBodyBytes {
		return nil, fmt.Errorf("decode host list: more than %d bytes", maxBodyBytes)
	}
	var groups []struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, fmt.Errorf("decode host list: %w", err)
	}
	var hosts []Host
	for _, g := range groups {
		role, state := g.Labels["role"], g.Labels["state"]
		if role != roleGateway && role != roleSidecar || state != stateLive && state != stateLeaving {
			return nil, fmt.Errorf("decode host list: role %q, state %q", role, state)
		}
		for _, target := range g.Targets {
			if _, err := netip.ParseAddrPort(target); err != nil {
				return nil, fmt.Errorf("decode host list: target %q: %w", target, err)
			}
			hosts = append(hosts, Host{
				Address: target, Host: g.Labels["host"], DataCentre: g.Labels["data_centre"],
				Role: role, Leaving: state == stateLeaving,
			})
		}
	}
	if len(hosts) > maxHosts {
		return nil, fmt.Errorf("decode host list: more than %d hosts", maxHosts)
	}
	return hosts, nil
}

// set puts a list into use. The answer that the last list is still the current one counts as a list, so
// that it confirms the absence of a host.
func (l *List) set(hosts []Host, tag string, at time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(hosts) == 0 && len(l.hosts) > 0 {
		return errEmpty
	}
	next := make(map[string]listed, len(hosts))
	for _, h := range hosts {
		next[h.Address] = listed{Host: h}
		delete(l.removed, h.Address)
	}
	for address, old := range l.hosts {
		if _, ok := next[address]; ok {
			continue
		}
		old.absences++
		if old.absences >= absencesToRemove {
			l.removed[address] = at
			continue
		}
		next[address] = old
	}
	for address, removedAt := range l.removed {
		if at.Sub(removedAt) > removedFor {
			delete(l.removed, address)
		}
	}
	l.hosts, l.read, l.readAt = next, true, at
	l.last, l.tag = hosts, tag
	return nil
}

// Gateways returns the addresses of listed gateways, leaving ones included, in order.
func (l *List) Gateways() []string { return l.addresses(roleGateway) }

// Sidecars returns the addresses of listed sidecars, leaving ones included, in order.
func (l *List) Sidecars() []string { return l.addresses(roleSidecar) }

func (l *List) addresses(role string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for address, h := range l.hosts {
		if h.Role == role {
			found = append(found, address)
		}
	}
	slices.Sort(found)
	return found
}

// All returns every listed host in order of address.
func (l *List) All() []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Host, 0, len(l.hosts))
	for _, h := range l.hosts {
		all = append(all, h.Host)
	}
	slices.SortFunc(all, func(a, b Host) int { return strings.Compare(a.Address, b.Address) })
	return all
}

// Host returns the entry of the host at address.
func (l *List) Host(address string) (Host, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.hosts[address]
	return h.Host, ok
}

// Leaving reports whether the host at address is listed as leaving.
func (l *List) Leaving(address string) bool {
	h, ok := l.Host(address)
	return ok && h.Leaving
}

// Removed reports whether the host at address was listed and then removed from the list.
func (l *List) Removed(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.removed[address]
	return ok
}

// Age returns the time since the last successful read was sent, and false if there was none.
func (l *List) Age() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opts.Now().Sub(l.readAt), l.read
}
