package sidecarclient

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
	// refreshMaxAge is the age of a status above which Select does not refresh it. It covers several rounds of polls at
	// full size.
	refreshMaxAge = 5 * time.Minute
	// refreshTimeout bounds the status requests of one round before a choice. Data centres of one region are 1 ms apart.
	refreshTimeout = 50 * time.Millisecond
	// refreshBatchSize is the number of candidates whose status is refreshed at the same time.
	refreshBatchSize = 2
	// maxRefreshRounds is the maximum number of rounds of status requests before a choice.
	maxRefreshRounds = 3
)

// Select orders candidates for r. If the status of the best one is older than StatusMaxAge, Select first requests new
// statuses of the best candidates with an old one, so that the chosen sidecar has a recent status. It does so until ctx
// ends or maxRefreshRounds are over. Under the probe policy the caller probes the candidates, so they are returned
// without a refresh.
func (c *Client) Select(ctx context.Context, r route.Request) route.Decision {
	for range maxRefreshRounds {
		d := c.chooseWithOldStatus(r)
		if c.opts.Policy == route.PolicyProbe || len(d.Candidates) == 0 || !d.Candidates[0].NeedsRefresh {
			return dropOldStatus(d, c.opts.Policy)
		}
		c.refreshCandidates(ctx, d.Candidates)
		if d := c.Choose(r); len(d.Candidates) > 0 || ctx.Err() != nil {
			return d
		}
	}
	return c.Choose(r)
}

// chooseWithOldStatus orders candidates like Choose, with those whose status is at most refreshMaxAge old.
func (c *Client) chooseWithOldStatus(r route.Request) route.Decision {
	r.MaxAge, r.MaxCandidateAge = c.opts.StatusMaxAge, refreshMaxAge
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Choose(time.Now(), r, c.opts.Policy, c.rng)
}

// dropOldStatus removes the candidates with an old status from d, except under the probe policy.
func dropOldStatus(d route.Decision, p route.Policy) route.Decision {
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

// refreshCandidates requests new statuses of the first candidates with an old one. A sidecar that does not answer is
// excluded from choices until a new status of it arrives.
func (c *Client) refreshCandidates(parent context.Context, candidates []route.Candidate) {
	ctx, cancel := context.WithTimeout(parent, refreshTimeout)
	defer cancel()
	var wg sync.WaitGroup
	requested := 0
	for _, s := range candidates {
		if !s.NeedsRefresh || requested == refreshBatchSize {
			continue
		}
		requested++
		wg.Go(func() {
			c.refreshes.Add(1)
			if err := c.refresh(ctx, s.Address, true); err != nil && parent.Err() == nil {
				c.opts.Log.Debug("sidecar did not answer a status request; it is not chosen until a new status arrives",
					"sidecar", s.Address, "error", err)
				c.expire(s.Address)
			}
		})
	}
	wg.Wait()
}

// refresh requests the status of a sidecar and stores it. It uses the stream that the last status request left open, or
// opens a new one if there is none or it fails.
func (c *Client) refresh(ctx context.Context, address string, withPrefixes bool) error {
	request, stream := c.prepareRefresh(address, withPrefixes)
	at := time.Now()
	if stream != nil {
		status, err := requestStatus(ctx, stream, request)
		if err == nil {
			c.keepStream(address, stream)
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
	status, err := requestStatus(ctx, stream, request)
	if err != nil {
		_ = stream.Close()
		return err
	}
	c.keepStream(address, stream)
	c.Update(address, status, at)
	return nil
}

// prepareRefresh returns a status request that names the versions of the lists known already, so that the sidecar leaves
// out what has not changed, and the open stream or nil. The caller then owns the stream.
func (c *Client) prepareRefresh(address string, withPrefixes bool) (*wirepb.StatusRequest, *transport.Stream) {
	loads := c.opts.IncludeLoads != nil && c.opts.IncludeLoads()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.statuses[address]
	request := &wirepb.StatusRequest{
		KnownLists: known.GetListsVersion(), KnownPrefixes: known.GetPrefixesVersion(),
		OmitPrefixes: c.largeFleet && !withPrefixes, OmitLoads: c.largeFleet && !loads,
	}
	s := c.polling[address]
	if s == nil {
		return request, nil
	}
	stream := s.stream
	s.stream = nil
	return request, stream
}

// keepStream keeps a stream open for the next status request, or closes it if the sidecar has one already or is gone.
func (c *Client) keepStream(address string, stream *transport.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.polling[address]; s != nil && s.stream == nil {
		s.stream = stream
		return
	}
	_ = stream.Close()
}

// requestStatus sends one status request on a stream and returns the reply. After an error the caller must close the
// stream, because the reply may still arrive.
func requestStatus(ctx context.Context, stream *transport.Stream, r *wirepb.StatusRequest) (*wirepb.Status, error) {
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
		return nil, fmt.Errorf("request status: %w", err)
	case reply.GetStatus() == nil:
		return nil, fmt.Errorf("unexpected reply of type %T to a status request", reply.GetMessage())
	}
	return reply.GetStatus(), nil
}
