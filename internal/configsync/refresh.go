package configsync

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// roundResult collects the answers of the table service and the peers in one round.
type roundResult struct {
	asked                bool
	storeAnswered        bool
	peersKnown           int
	peersAnswered        int // peers that answered
	peersReportingOutage int // peers that answered and cannot reach the table service
}

// errStoreBehind reports that the head version in the table service is older than the copy.
var errStoreBehind = errors.New("configuration in the table service is older than the copy")

// runRound runs one round of confirmation. If the process was suspended during the round, it runs a second
// one, because the age of the answers counts from before the suspension.
func (c *Copy) runRound(ctx context.Context) Decision {
	for retried := false; ; retried = true {
		started := c.opts.Now()
		d := c.refresh(ctx, started)
		suspended := c.opts.Now().Sub(started) > 2*roundTimeout
		if !suspended || d == Use || ctx.Err() != nil {
			return d
		}
		if retried {
			return max(d, Refuse)
		}
	}
}

// refresh asks the table service, then peers if the table service did not confirm the copy in time or there is
// no configuration yet, and returns and records the decision.
func (c *Copy) refresh(ctx context.Context, started time.Time) Decision {
	a := roundResult{asked: true}
	storeDone := c.startStoreRead(ctx)
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	timer := time.NewTimer(peerTimeout)
	defer timer.Stop()
	// Wait for the table service only for a limited time, so that a slow one does not delay asking the peers.
	var storeErr error
	answered := false
	select {
	case storeErr = <-storeDone:
		answered, a.storeAnswered = true, storeErr == nil
	case <-timer.C:
	}
	if !answered || storeErr != nil {
		c.markStoreUnavailable(started)
	}
	if !answered || storeErr != nil || c.Version() == 0 {
		c.askPeers(ctx, &a)
	}
	d := Decide(c.decisionInput(a))
	if !answered && (d == Refuse || d == NotReady) {
		select {
		case storeErr = <-storeDone:
			a.storeAnswered = storeErr == nil
		case <-ctx.Done():
			storeErr = ctx.Err()
		}
		d = Decide(c.decisionInput(a))
	}
	if storeErr != nil && c.changeLog != nil {
		c.opts.Log.Debug("could not read the configuration from the table service", "error", storeErr)
	}
	c.recordDecision(d, started)
	return d
}

// startStoreRead reads from the table service in the background. The read may outlast the round, so that the
// copy still follows a slow table service.
func (c *Copy) startStoreRead(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if c.changeLog == nil {
		done <- errors.New("no table service client is configured")
		return done
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storePollTimeout)
		defer cancel()
		done <- c.readStore(ctx)
	}()
	return done
}

// markStoreUnavailable records that the table service did not answer a round, unless a read that was sent since
// the round started has succeeded.
func (c *Copy) markStoreUnavailable(started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeUnavailable = c.changeLog != nil && c.lastStoreReadAt.Before(started)
}

// recordDecision records the decision of a round. A Continue decision remains valid for half of FreshFor. The
// peer's report of the outage may itself be up to a poll interval old; together the two stay within the time
// limit in which the withdrawal of a key must take effect.
func (c *Copy) recordDecision(d Decision, started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.continueUntil, c.refusalUntil = time.Time{}, time.Time{}
	switch d {
	case Continue:
		c.continueUntil = started.Add(c.opts.FreshFor / 2)
	case Refuse, NotReady:
		c.lastRefusal, c.refusalUntil = d, c.opts.Now().Add(refusalCacheTTL)
	}
}

// readStore reads the head version and the changes since the copy's version. The copy counts as confirmed
// from the time before the read was sent, so that a process suspended during the read finds its copy stale.
func (c *Copy) readStore(ctx context.Context) error {
	sent := c.opts.Now()
	head, err := c.changeLog.Head(ctx)
	if err != nil {
		return err
	}
	current := c.Snapshot()
	if head < current.Version() {
		c.opts.Log.Error("table service has an older configuration version than the copy; keeping the copy",
			"head", head, "version", current.Version())
		return fmt.Errorf("%w: %d < %d", errStoreBehind, head, current.Version())
	}
	if head > current.Version() {
		next, err := c.readChanges(ctx, current, head)
		if err != nil {
			return err
		}
		if err := c.apply(next.Version(), next.Since(current.Version())); err != nil {
			return err
		}
	}
	c.confirm(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeUnavailable, c.lastStoreReadAt = false, sent
	return nil
}

// readChanges returns the configuration at head or newer. It reads only the changes after current, or the
// whole configuration if current is empty or more than one page of changes behind.
func (c *Copy) readChanges(ctx context.Context, current *config.Snapshot, head int64) (*config.Snapshot, error) {
	if current.Version() == 0 || head-current.Version() > config.MaxChangesPerPage {
		return c.changeLog.Load(ctx)
	}
	return c.changeLog.CatchUp(ctx, current)
}

// choosePeers returns up to maxPeersPerRound randomly chosen peers, and the number of known peers. This
// process is not one of them.
func (c *Copy) choosePeers() ([]string, int) {
	var peers []string
	own := c.opts.Identity.GetAddress()
	for _, p := range c.opts.Peers() {
		if p != own {
			peers = append(peers, p)
		}
	}
	peersKnown := len(peers)
	c.mu.Lock()
	c.opts.Rand.Shuffle(peersKnown, func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	c.mu.Unlock()
	return peers[:min(peersKnown, maxPeersPerRound)], peersKnown
}

// peerAnswer is the outcome of a request to a peer that answered.
type peerAnswer struct {
	storeAway bool  // the peer cannot reach the table service
	confirmed bool  // the answer confirmed the copy
	err       error // the delta could not be applied
}

// confirmOnly as the version of a request asks for no changes, only for the peer's version and its age.
const confirmOnly = math.MaxInt64

// Pull requests the changes up to version from the peer at address (IP:port), which is known to have that
// version, without waiting for the next poll. It returns nil if the copy then has version or a newer one, and
// otherwise an error of the kind errkind.ConfigStale. It waits at most peerTimeout.
func (c *Copy) Pull(ctx context.Context, address string, version int64) error {
	if c.Version() >= version {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	results := make(chan *peerAnswer, 1)
	go c.requestDelta(ctx, address, c.Version(), results)
	select {
	case r := <-results:
		if r != nil && r.err != nil {
			return errkind.Wrap(errkind.ConfigStale, r.err, "apply configuration from %s", address)
		}
	case <-ctx.Done():
	}
	if current := c.Version(); current < version {
		return errkind.New(errkind.ConfigStale, "have version %d, need version %d from %s", current, version, address)
	}
	return nil
}

// askPeers asks one peer, and then the other chosen peers if the first has not answered within hedgeDelay or
// its answer does not make the copy fresh. A copy that is still fresh from an earlier round does not end the round, because
// it may lack a change that another peer has.
func (c *Copy) askPeers(ctx context.Context, a *roundResult) {
	peers, peersKnown := c.choosePeers()
	a.peersKnown = peersKnown
	if peersKnown == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	results := make(chan *peerAnswer, len(peers))
	hedgeTimer := time.NewTimer(hedgeDelay)
	defer hedgeTimer.Stop()
	since := c.Version()
	if c.transfers.Load() > 0 {
		since = confirmOnly // the changes are arriving; another copy would slow them down
	}
	go c.requestDelta(ctx, peers[0], since, results)
	asked, answered := 1, 0
	askOthers := func() {
		for ; asked < len(peers); asked++ {
			go c.requestDelta(ctx, peers[asked], since, results)
		}
	}
	for answered < len(peers) {
		select {
		case r := <-results:
			answered++
			c.recordAnswer(r, a)
			if r != nil && r.confirmed && Decide(c.decisionInput(*a)) == Use {
				return
			}
			askOthers()
		case <-hedgeTimer.C:
			askOthers()
		case <-ctx.Done():
			return
		}
	}
}

// requestDelta requests the changes after a version from a peer, applies them and sends the outcome to results, nil if the peer
// did not answer. The transfer may outlast the round, whose end ctx is.
func (c *Copy) requestDelta(ctx context.Context, address string, since int64, results chan<- *peerAnswer) {
	transfer, cancel := context.WithTimeout(context.WithoutCancel(ctx), transferTimeout)
	defer cancel()
	outlasted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		c.transfers.Add(1)
		close(outlasted)
	})
	finish := func(a *peerAnswer) {
		if !stop() {
			<-outlasted
			c.transfers.Add(-1)
		}
		results <- a // after the count, because the round may end with it
	}
	sent := c.opts.Now()
	delta, err := c.opts.FetchDelta(transfer, address, &wirepb.ConfigRequest{Identity: c.opts.Identity, Since: since})
	if err != nil {
		c.opts.Log.Debug("configuration request to peer failed", "peer", address, "error", err)
		finish(nil)
		return
	}
	confirmed, err := c.applyDelta(delta, since, sent)
	if err != nil {
		c.opts.Log.Warn("could not apply the configuration received from a peer", "peer", address, "error", err)
	}
	finish(&peerAnswer{storeAway: delta.GetStoreAway(), confirmed: confirmed, err: err})
}

func (c *Copy) recordAnswer(r *peerAnswer, a *roundResult) {
	if r == nil {
		return
	}
	a.peersAnswered++
	if r.storeAway {
		a.peersReportingOutage++
	}
}

// applyDelta applies the changes after a version that a peer sent, and reports whether they confirmed the copy. The copy
// counts as confirmed from the time the request was sent, less the confirmation age that the peer reports, so that ages add up
// over several hops. An answer from a peer with an older version is ignored and confirms nothing, as is one without changes
// from a peer with a newer version.
func (c *Copy) applyDelta(delta *wirepb.ConfigDelta, since int64, sent time.Time) (confirmed bool, err error) {
	before := c.Version()
	version := delta.GetVersion()
	if version < before || version <= 0 || (since == confirmOnly && version != before) {
		return false, nil
	}
	entities, err := fromWire(delta.GetEntities(), version)
	if err != nil {
		return false, err
	}
	if err := c.apply(version, entities); err != nil {
		return false, err
	}
	if age := delta.GetConfirmedAgeMs(); age >= 0 && age <= maxClaimedAgeMS {
		c.confirm(sent.Add(-time.Duration(age) * time.Millisecond))
		confirmed = true
	}
	return confirmed, nil
}

// askOverPool is the default FetchFunc. It uses the session pool of the options.
func (c *Copy) askOverPool(ctx context.Context, address string, r *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
	return FetchDelta(ctx, c.opts.Pool, address, r)
}

// FetchDelta requests the configuration changes after a version from the process at address (IP:port). The answer may take as
// long as ctx allows, if each part of it arrives within a second. If the request cannot be sent or times out, it drops the
// session from the pool, so that the next request dials again.
func FetchDelta(ctx context.Context, pool *transport.Pool, address string, r *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
	request := &wirepb.Envelope{Message: &wirepb.Envelope_ConfigRequest{ConfigRequest: r}}
	reply, err := exchange(ctx, pool, address, request, func(s *transport.Stream) (*wirepb.Envelope, error) {
		return s.RecvWithProgress(ctx, peerTimeout)
	})
	if err != nil {
		return nil, err
	}
	delta := reply.GetConfigDelta()
	if delta == nil {
		return nil, fmt.Errorf("peer %s answered with %T", address, reply.GetMessage())
	}
	return delta, nil
}

// Exchange opens a stream to address (IP:port), sends one message and returns the first message of the reply.
// If ctx ends, it stops waiting and returns an error. If the message cannot be sent or the deadline of ctx
// passes, it drops the session from the pool.
func Exchange(ctx context.Context, pool *transport.Pool, address string, e *wirepb.Envelope) (*wirepb.Envelope, error) {
	return exchange(ctx, pool, address, e, (*transport.Stream).Recv)
}

func exchange(ctx context.Context, pool *transport.Pool, address string, e *wirepb.Envelope,
	recv func(*transport.Stream) (*wirepb.Envelope, error)) (*wirepb.Envelope, error) {
	stream, err := pool.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := stream.Send(e); err != nil {
		pool.Drop(address)
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	reply, err := recv(stream)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) || isTimeout(err) {
			pool.Drop(address)
		}
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	return reply, nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
