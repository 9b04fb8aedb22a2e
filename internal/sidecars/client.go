// Package sidecars is the gateway's client of sidecars: their status with its age, probes, and requests
// as typed conversations.
package sidecars

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

// HostList returns the sidecars that the platform lists.
type HostList interface {
	Sidecars() []string // IP:port
}

// Options configures a Client.
type Options struct {
	Pool     *transport.Pool
	Identity *wirepb.Identity
	Static   []string // sidecars known at start, IP:port
	HostList HostList // may be nil
	// Leaving reports whether the host list says that the host at address is leaving. Its status then counts as
	// draining, although its sidecar may not know yet. May be nil.
	Leaving        func(address string) bool
	Policy         route.Policy
	StatusInterval time.Duration
	StatusMaxAge   time.Duration // an older status is confirmed by Select before its sidecar is chosen
	StatusPolls    float64       // most polls a second; 25 if zero
	Loads          func() bool   // reports whether polls ask for model loads; nil for only in a small fleet
	Log            *slog.Logger
}

// Client knows the sidecars of the fleet. It is safe for concurrent use.
type Client struct {
	opts Options

	mu       sync.Mutex
	table    *route.Table
	rng      *rand.Rand
	statuses map[string]*wirepb.Status
	polling  map[string]*pollState
	large    bool // the last round could not poll every sidecar

	polls          atomic.Int64
	asks           atomic.Int64
	pollFailures   atomic.Int64
	protocolErrors atomic.Int64
}

// New returns a client that knows no status yet; Run polls for it.
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

// Choose orders candidates for r among those with a status that is not old.
func (c *Client) Choose(r route.Request) route.Decision {
	r.MaxAge = c.opts.StatusMaxAge
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Choose(time.Now(), r, c.opts.Policy, c.rng)
}

// Update stores a status that was requested at the given time. A status without some of its parts is
// completed from the last one; it is dropped if there is none. The message must not be used afterwards.
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
		Draining: s.GetDraining(), Out: s.GetDataCentreOut(), Ready: s.GetReady(), At: at,
	}
	// Lists that were taken over from the last status are shared with readers, and sorted already.
	if !slices.IsSorted(r.Resident) {
		slices.Sort(r.Resident)
	}
	if !slices.IsSorted(r.Adapters) {
		slices.Sort(r.Adapters)
	}
	c.table.Set(r)
	c.statuses[address] = s
}

// Statuses returns the last status of each sidecar by address. The messages must not be changed.
func (c *Client) Statuses() map[string]*wirepb.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]*wirepb.Status, len(c.statuses))
	for a, s := range c.statuses {
		out[a] = s
	}
	return out
}

// Known returns the number of sidecars with a status.
func (c *Client) Known() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}

// Polls returns how many status polls were sent, and how many statuses were asked for by Select.
func (c *Client) Polls() (polls, asks int64) { return c.polls.Load(), c.asks.Load() }

// PollFailures returns how many status polls failed.
func (c *Client) PollFailures() int64 { return c.pollFailures.Load() }

// ProtocolErrors returns how many conversations were closed because of a frame that did not belong.
func (c *Client) ProtocolErrors() int64 { return c.protocolErrors.Load() }

func (c *Client) start(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Start(address)
	if s := c.polling[address]; s != nil {
		s.used = time.Now()
	}
}

// expire keeps a sidecar that cannot be reached out of routing until it answers a poll.
func (c *Client) expire(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Expire(address)
}

func (c *Client) done(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Done(address)
}

// Ask sends one frame on a new stream and returns the reply frame. It is bounded by ctx.
func (c *Client) Ask(ctx context.Context, address string, e *wirepb.Envelope) (*wirepb.Envelope, error) {
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
		return nil, fmt.Errorf("read reply of %s: %w", address, err)
	}
	return reply, nil
}

// Probe asks a sidecar what it would do with a request.
func (c *Client) Probe(ctx context.Context, address string, p *wirepb.Probe) (*wirepb.ProbeReply, error) {
	reply, err := c.Ask(ctx, address, &wirepb.Envelope{Message: &wirepb.Envelope_Probe{Probe: p}})
	if err != nil {
		return nil, err
	}
	if reply.GetProbeReply() == nil {
		c.protocolErrors.Add(1)
		return nil, fmt.Errorf("sidecar %s answered a probe with another message", address)
	}
	return reply.GetProbeReply(), nil
}
