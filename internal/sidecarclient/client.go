// Package sidecarclient is the gateway's client for the sidecars of the fleet. A Client polls their statuses, chooses a sidecar
// for a request, probes sidecars, and submits requests to them.
package sidecarclient

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// HostList is the platform's list of hosts.
type HostList interface {
	Sidecars() []string // addresses of the sidecars on the listed hosts, IP:port
}

// Options configures a Client.
type Options struct {
	Pool     *transport.Pool
	Identity *wirepb.Identity // of this gateway; sent in the first status request on a stream
	Static   []string         // addresses of sidecars that are always polled, IP:port
	HostList HostList         // lists further sidecars; may be nil
	// Leaving reports whether the host of the sidecar at address is leaving according to the host list. The sidecar then
	// counts as draining, although it may not know yet. May be nil.
	Leaving        func(address string) bool
	Policy         route.Policy
	StatusInterval time.Duration // between two rounds of polls; also the timeout of a poll
	StatusMaxAge   time.Duration // Select refreshes an older status before it chooses the sidecar
	StatusPolls    float64       // maximum polls per second; 25 if zero or less
	IncludeLoads   func() bool   // reports whether polls request model loads in a large fleet, too; nil for never
	Log            *slog.Logger
}

// Client holds the statuses of the sidecars of the fleet and sends requests to them. It is safe for concurrent use.
type Client struct {
	opts Options

	mu         sync.Mutex
	table      *route.Table
	rng        *rand.Rand
	statuses   map[string]*wirepb.Status
	polling    map[string]*pollState
	largeFleet bool // the poll budget of a round is smaller than the number of sidecars

	polls          atomic.Int64
	refreshes      atomic.Int64
	pollFailures   atomic.Int64
	protocolErrors atomic.Int64
}

// New returns a client without statuses. Run polls for them.
func New(opts Options) *Client {
	if opts.StatusPolls <= 0 {
		opts.StatusPolls = defaultStatusPolls
	}
	return &Client{
		opts:     opts,
		table:    route.NewTable(),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		statuses: make(map[string]*wirepb.Status),
		polling:  make(map[string]*pollState),
	}
}

// Choose orders candidates for r by the configured policy. Sidecars whose status is older than StatusMaxAge are excluded.
func (c *Client) Choose(r route.Request) route.Decision {
	r.MaxAge = c.opts.StatusMaxAge
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Choose(time.Now(), r, c.opts.Policy, c.rng)
}

// Update stores a status that was requested at the given time; nil is ignored. Parts that the sidecar left out are taken
// from the last status; if that is missing, the new one is dropped. The message must not be used by the caller afterwards.
func (c *Client) Update(address string, s *wirepb.Status, at time.Time) {
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !wire.CompleteStatus(s, c.statuses[address]) {
		return
	}
	wire.SetVersions(s)
	if c.opts.Leaving != nil && c.opts.Leaving(address) {
		s.Draining = true
	}
	r := route.Replica{
		Address: address, DataCentre: s.GetIdentity().GetDataCentre(), Service: s.GetService(),
		Plain: s.GetKind() == "plain", Resident: s.GetResident(), Adapters: s.GetAdapters(), Prefixes: s.GetPrefixes(),
		Running: s.GetRunning(), Queued: s.GetQueued(), Limit: s.GetLimit(), QueueMS: s.GetQueueMs(),
		Draining: s.GetDraining(), DataCentreOut: s.GetDataCentreOut(), Ready: s.GetReady(), StatusAt: at,
	}
	// Lists taken from the last status are sorted already, and must not be written because readers share them.
	if !slices.IsSorted(r.Resident) {
		slices.Sort(r.Resident)
	}
	if !slices.IsSorted(r.Adapters) {
		slices.Sort(r.Adapters)
	}
	c.table.Set(r)
	c.statuses[address] = s
}

// Statuses returns the last status of each sidecar by address (IP:port). The messages must not be changed.
func (c *Client) Statuses() map[string]*wirepb.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]*wirepb.Status, len(c.statuses))
	for a, s := range c.statuses {
		out[a] = s
	}
	return out
}

// KnownCount returns the number of sidecars with a status.
func (c *Client) KnownCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}

// Polls returns how many status polls were sent, and how many status requests Select sent.
func (c *Client) Polls() (polls, refreshes int64) { return c.polls.Load(), c.refreshes.Load() }

// PollFailures returns how many status polls failed.
func (c *Client) PollFailures() int64 { return c.pollFailures.Load() }

// ProtocolErrors returns how many unexpected frames and replies sidecars sent.
func (c *Client) ProtocolErrors() int64 { return c.protocolErrors.Load() }

// requestStarted counts a request sent to the sidecar.
func (c *Client) requestStarted(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Start(address)
	if s := c.polling[address]; s != nil {
		s.lastRequest = time.Now()
	}
}

// expire excludes a sidecar that cannot be reached from choices until a new status of it arrives.
func (c *Client) expire(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Expire(address)
}

// requestDone counts the end of a request.
func (c *Client) requestDone(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Done(address)
}

// RoundTrip sends one frame on a new stream to the sidecar at address and returns the reply frame. It fails if no stream can be
// opened, if the frame can't be written or the reply read, and when ctx ends.
func (c *Client) RoundTrip(ctx context.Context, address string, e *wirepb.Envelope) (*wirepb.Envelope, error) {
	stream, err := c.opts.Pool.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := stream.Send(e); err != nil {
		return nil, err
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, fmt.Errorf("read reply from %s: %w", address, err)
	}
	return reply, nil
}

// Probe asks the sidecar at address whether it would take a request and after which wait. A reply of another type is an
// error and counts as a protocol error.
func (c *Client) Probe(ctx context.Context, address string, p *wirepb.Probe) (*wirepb.ProbeReply, error) {
	reply, err := c.RoundTrip(ctx, address, &wirepb.Envelope{Message: &wirepb.Envelope_Probe{Probe: p}})
	if err != nil {
		return nil, err
	}
	if reply.GetProbeReply() == nil {
		c.protocolErrors.Add(1)
		return nil, fmt.Errorf("sidecar %s answered a probe with a message of another type", address)
	}
	return reply.GetProbeReply(), nil
}
