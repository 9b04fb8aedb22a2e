package sidecars

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// askMaxAge is the age up to which an old status names a candidate that is worth asking. It covers
	// several rounds of polls at full size.
	askMaxAge = 5 * time.Minute
	// askTimeout bounds one question before a choice. Data centres of one region are 1 ms apart.
	askTimeout = 50 * time.Millisecond
	// askCount old candidates are asked at once, in at most askRounds rounds.
	askCount  = 2
	askRounds = 3
)

// Select orders candidates for r. If the best one has an old status, the best old ones are asked for
// their status first, so the chosen one has a status that is not old. Under the probe policy the caller
// asks the candidates, so they are returned as they are.
func (c *Client) Select(ctx context.Context, r route.Request) route.Decision {
	for range askRounds {
		d := c.chooseKnown(r)
		if c.opts.Policy == route.PolicyProbe || len(d.Candidates) == 0 || !d.Candidates[0].NeedsRefresh {
			return fresh(d, c.opts.Policy)
		}
		c.askOld(ctx, d.Candidates)
		if d := c.Choose(r); len(d.Candidates) > 0 || ctx.Err() != nil {
			return d
		}
	}
	return c.Choose(r)
}

func (c *Client) chooseKnown(r route.Request) route.Decision {
	r.MaxAge, r.MaxCandidateAge = c.opts.StatusMaxAge, askMaxAge
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Choose(time.Now(), r, c.opts.Policy, c.rng)
}

// fresh removes the candidates that were not asked.
func fresh(d route.Decision, p route.Policy) route.Decision {
	if p == route.PolicyProbe {
		return d
	}
	kept := d.Candidates[:0]
	for _, s := range d.Candidates {
		if !s.NeedsRefresh {
			kept = append(kept, s)
		}
	}
	d.Candidates = kept
	return d
}

// askOld asks the first old candidates. One that does not answer is no candidate until it answers a poll.
func (c *Client) askOld(parent context.Context, candidates []route.Scored) {
	ctx, cancel := context.WithTimeout(parent, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	asked := 0
	for _, s := range candidates {
		if !s.NeedsRefresh || asked == askCount {
			continue
		}
		asked++
		wg.Go(func() {
			c.asks.Add(1)
			if err := c.refresh(ctx, s.Address, true); err != nil && parent.Err() == nil {
				c.opts.Log.Debug("sidecar did not answer before a choice", "sidecar", s.Address, "error", err)
				c.expire(s.Address)
			}
		})
	}
	wg.Wait()
}

// refresh asks for the status over the stream that the last poll left open, or over a new one.
func (c *Client) refresh(ctx context.Context, address string, withPrefixes bool) error {
	request, stream := c.prepare(address, withPrefixes)
	at := time.Now()
	if stream != nil {
		status, err := askStatus(ctx, stream, request)
		if err == nil {
			c.keep(address, stream)
			c.Update(address, status, at)
			return nil
		}
		_ = stream.Close()
		if ctx.Err() != nil {
			return err
		}
	}
	stream, err := c.opts.Pool.Open(ctx, address)
	if err != nil {
		return err
	}
	request.Identity = c.opts.Identity
	status, err := askStatus(ctx, stream, request)
	if err != nil {
		_ = stream.Close()
		return err
	}
	c.keep(address, stream)
	c.Update(address, status, at)
	return nil
}

// prepare returns a request for what is not known, and the open stream, which the caller then owns.
func (c *Client) prepare(address string, withPrefixes bool) (*wirepb.StatusRequest, *transport.Stream) {
	loads := c.opts.Loads != nil && c.opts.Loads()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.statuses[address]
	request := &wirepb.StatusRequest{
		KnownLists: known.GetListsVersion(), KnownPrefixes: known.GetPrefixesVersion(),
		OmitPrefixes: c.large && !withPrefixes, OmitLoads: c.large && !loads,
	}
	s := c.polling[address]
	if s == nil {
		return request, nil
	}
	stream := s.stream
	s.stream = nil
	return request, stream
}

// keep leaves a stream open for the next poll.
func (c *Client) keep(address string, stream *transport.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.polling[address]; s != nil && s.stream == nil {
		s.stream = stream
		return
	}
	_ = stream.Close()
}

// askStatus asks once on a stream. After an error the stream must be closed, because the answer may come
// late.
func askStatus(ctx context.Context, stream *transport.Stream, r *wirepb.StatusRequest) (*wirepb.Status, error) {
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	err := stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_StatusRequest{StatusRequest: r}})
	var reply *wirepb.Envelope
	if err == nil {
		reply, err = stream.Recv()
	}
	switch {
	case !stop() && err == nil:
		return nil, ctx.Err()
	case err != nil:
		return nil, fmt.Errorf("ask for status: %w", err)
	case reply.GetStatus() == nil:
		return nil, fmt.Errorf("status request was answered with %T", reply.GetMessage())
	}
	return reply.GetStatus(), nil
}
