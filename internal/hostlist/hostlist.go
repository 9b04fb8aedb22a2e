// Package hostlist is a client of the platform's host list, which is served in the format of Prometheus HTTP service
// discovery. The list may lag behind the actual hosts and may be unavailable; the last list read then stays in use.
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

	"github.com/pomelowheel/pomelowheel/internal/responsecheck"
)

const (
	defaultInterval = 2 * time.Second
	readTimeout     = 2 * time.Second
	maxBodyBytes    = 4 << 20
	maxHosts        = 20000
	// absencesToRemove is the number of consecutive lists without a host after which it counts as removed. One list is not
	// enough, because takeovers depend on removals and a list may be truncated.
	absencesToRemove = 2
	// removedRetention is the time for which Removed reports a host after its removal.
	removedRetention = 24 * time.Hour

	roleGateway  = "gateway"
	roleSidecar  = "sidecar"
	stateLive    = "live"
	stateLeaving = "leaving"
)

// errEmptyList reports that the list is empty although hosts were listed before. Such a list is not put into use.
var errEmptyList = errors.New("host list is empty although hosts were listed before")

// Host is one gateway or sidecar in the list.
type Host struct {
	Address    string // peer address, IP:port
	Host       string // name of the host
	DataCentre string // name of its data centre
	Role       string // gateway or sidecar
	Leaving    bool   // listed with the state leaving instead of live
}

// Options configures a List.
type Options struct {
	URL      string           // of the list
	Interval time.Duration    // mean time between two reads, before jitter; 2 s if zero or less
	Client   *http.Client     // one with the settings of http.DefaultClient if nil
	Log      *slog.Logger     // nothing is logged if nil
	Now      func() time.Time // time.Now if nil
}

// List holds the last host list read. It is safe for concurrent use.
type List struct {
	opts Options

	mu        sync.Mutex
	hosts     map[string]listedHost
	lastHosts []Host // of the last list read
	etag      string // entity tag of the last list read; empty if it had none
	removed   map[string]time.Time
	hasRead   bool
	readAt    time.Time
}

type listedHost struct {
	Host
	absences int
}

// New returns an empty list.
func New(opts Options) *List {
	if opts.Interval <= 0 {
		opts.Interval = defaultInterval
	}
	if opts.Client == nil {
		opts.Client = responsecheck.NewClient()
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	return &List{opts: opts, hosts: make(map[string]listedHost), removed: make(map[string]time.Time)}
}

// Run reads the list at intervals until ctx ends, and returns ctx.Err(). It logs when reads start and stop failing.
func (l *List) Run(ctx context.Context) error {
	failing := false
	for {
		err := l.Poll(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if (err != nil) != failing {
			failing = err != nil
			l.opts.Log.Info("host list read status changed", "failing", failing, "error", err)
		}
		// The jitter keeps the gateways of a data centre that started together from reading at the same times.
		timer := time.NewTimer(l.opts.Interval/2 + rand.N(l.opts.Interval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// Poll reads the list once, within 2 s. After an error the previous list stays in use. The request is conditional on the
// entity tag of the last list (RFC 9110, section 13.1.2), so that an unchanged list is not transferred again. The default
// transport of net/http requests compression.
func (l *List) Poll(ctx context.Context) error {
	sentAt := l.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.opts.URL, nil)
	if err != nil {
		return fmt.Errorf("read host list: %w", err)
	}
	cached, etag := l.cached()
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := l.opts.Client.Do(request)
	if err != nil {
		return fmt.Errorf("read host list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified && etag != "" {
		return l.set(cached, etag, sentAt)
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
	return l.set(hosts, response.Header.Get("ETag"), sentAt)
}

func (l *List) cached() (hosts []Host, etag string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastHosts, l.etag
}

// Parse decodes a list of at most 4 MiB and 20000 hosts. If any entry is invalid, it returns an error and no hosts. An
// entry is valid if its role is gateway or sidecar, its state live or leaving, and its target an IP address and port.
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

// set puts a list into use. An answer that the list is not modified also counts as a list, so that it confirms the absence
// of a host. An empty list is refused if hosts were listed before.
func (l *List) set(hosts []Host, etag string, at time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(hosts) == 0 && len(l.hosts) > 0 {
		return errEmptyList
	}
	next := make(map[string]listedHost, len(hosts))
	for _, h := range hosts {
		next[h.Address] = listedHost{Host: h}
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
		if at.Sub(removedAt) > removedRetention {
			delete(l.removed, address)
		}
	}
	l.hosts, l.hasRead, l.readAt = next, true, at
	l.lastHosts, l.etag = hosts, etag
	return nil
}

// Gateways returns the sorted addresses (IP:port) of the listed gateways, including those leaving.
func (l *List) Gateways() []string { return l.addresses(roleGateway) }

// Sidecars returns the sorted addresses (IP:port) of the listed sidecars, including those leaving.
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

// All returns every listed host, sorted by address.
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

// Host returns the entry of the host at address, and false if it is not listed.
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

// Removed reports whether the host at address was removed from the list, that is, was absent from two lists in a row. A
// removal is forgotten after 24 h or when the host is listed again.
func (l *List) Removed(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.removed[address]
	return ok
}

// Age returns the time since the request of the last successful read was sent, and false if no read succeeded yet.
func (l *List) Age() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opts.Now().Sub(l.readAt), l.hasRead
}
