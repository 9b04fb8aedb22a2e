package configsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// answers collects what one round of asking found out.
type answers struct {
	asked bool
	store bool
	known int
	heard int
	away  int
}

// errBehind says that the table service shows an older head than the copy.
var errBehind = errors.New("head in the table service is older than the copy")

// round asks once, and once more if the process was stopped during the round, because the answers then
// count from before the stop.
func (c *Copy) round(ctx context.Context) Decision {
	for again := false; ; again = true {
		started := c.opts.Now()
		d := c.refresh(ctx, started)
		stopped := c.opts.Now().Sub(started) > 2*askTimeout
		if !stopped || d == Use || ctx.Err() != nil {
			return d
		}
		if again {
			return max(d, Refuse)
		}
	}
}

// refresh asks the table service, and peers if that does not make the copy fresh, and decides.
func (c *Copy) refresh(ctx context.Context, started time.Time) Decision {
	a := answers{asked: true}
	storeDone := c.startStore(ctx)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	timer := time.NewTimer(peerTimeout)
	defer timer.Stop()
	// A slow table service does not hold back the question to peers.
	var storeErr error
	answered := false
	select {
	case storeErr = <-storeDone:
		answered, a.store = true, storeErr == nil
	case <-timer.C:
	}
	if !answered || storeErr != nil {
		c.missStore(started)
	}
	if !answered || storeErr != nil || c.Version() == 0 {
		c.askPeers(ctx, &a)
	}
	d := Decide(c.view(a))
	if !answered && (d == Refuse || d == NotReady) {
		select {
		case storeErr = <-storeDone:
			a.store = storeErr == nil
		case <-ctx.Done():
			storeErr = ctx.Err()
		}
		d = Decide(c.view(a))
	}
	if storeErr != nil && c.log != nil {
		c.opts.Log.Debug("table service not read", "error", storeErr)
	}
	c.conclude(d, started)
	return d
}

// startStore asks the table service in the background. The read may outlast the round, so that a slow
// table service is still followed.
func (c *Copy) startStore(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if c.log == nil {
		done <- errors.New("no client of the table service")
		return done
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		done <- c.askStore(ctx)
	}()
	return done
}

// missStore records that the table service did not answer, unless a read sent since then succeeded.
func (c *Copy) missStore(started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeAway = c.log != nil && c.storeReadAt.Before(started)
}

// conclude records the decision of a round. It lets a Continue decision stand for half the freshness bound. A peer's report of the outage
// is up to a poll interval old itself; the two together stay within the bound of a withdrawal.
func (c *Copy) conclude(d Decision, started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awayUntil, c.refuseUntil = time.Time{}, time.Time{}
	switch d {
	case Continue:
		c.awayUntil = started.Add(c.opts.FreshFor / 2)
	case Refuse, NotReady:
		c.refused, c.refuseUntil = d, c.opts.Now().Add(refuseHold)
	}
}

// askStore reads the head and the changes after the copy. The confirmation counts from before the read
// was sent, so that a process that was stopped in between sees its copy as stale.
func (c *Copy) askStore(ctx context.Context) error {
	sent := c.opts.Now()
	head, err := c.log.Head(ctx)
	if err != nil {
		return err
	}
	held := c.Snapshot()
	if head < held.Version() {
		c.opts.Log.Error("head in the table service is older than the copy", "head", head, "version", held.Version())
		return fmt.Errorf("%w: %d < %d", errBehind, head, held.Version())
	}
	if head > held.Version() {
		next, err := c.pull(ctx, held, head)
		if err != nil {
			return err
		}
		if err := c.apply(next.Version(), next.Since(held.Version())); err != nil {
			return err
		}
	}
	c.confirm(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeAway, c.storeReadAt = false, sent
	return nil
}

// pull reads the changes after held, or everything if there are more than a page of them.
func (c *Copy) pull(ctx context.Context, held *config.Snapshot, head int64) (*config.Snapshot, error) {
	if held.Version() == 0 || head-held.Version() > config.MaxChangesPerPage {
		return c.log.Load(ctx)
	}
	return c.log.CatchUp(ctx, held)
}

// choosePeers returns up to maxPeers known peers, chosen at random, and the number of known peers.
func (c *Copy) choosePeers() ([]string, int) {
	var peers []string
	own := c.opts.Identity.GetAddress()
	for _, p := range c.opts.Peers() {
		if p != own {
			peers = append(peers, p)
		}
	}
	known := len(peers)
	c.mu.Lock()
	c.opts.Rand.Shuffle(known, func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	c.mu.Unlock()
	return peers[:min(known, maxPeers)], known
}

type peerAnswer struct {
	sent  time.Time
	delta *wirepb.ConfigDelta
}

// Pull asks the peer at address (IP:port) for the changes up to version, which that peer has, without
// waiting for the next poll. It returns nil if the copy is at version or newer afterwards; otherwise the
// error has the kind errkind.ConfigStale.
func (c *Copy) Pull(ctx context.Context, address string, version int64) error {
	if c.Version() >= version {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	results := make(chan *peerAnswer, 1)
	c.askOne(ctx, address, results)
	if r := <-results; r != nil {
		if err := c.merge(*r); err != nil {
			return errkind.Wrap(errkind.ConfigStale, err, "apply the configuration of %s", address)
		}
	}
	if held := c.Version(); held < version {
		return errkind.New(errkind.ConfigStale, "held version %d, wanted %d from %s", held, version, address)
	}
	return nil
}

// askPeers asks one peer, and the other chosen ones if it does not make the copy fresh soon.
func (c *Copy) askPeers(ctx context.Context, a *answers) {
	peers, known := c.choosePeers()
	a.known = known
	if known == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	results := make(chan *peerAnswer, len(peers))
	others := time.NewTimer(hedgeDelay)
	defer others.Stop()
	go c.askOne(ctx, peers[0], results)
	asked, heard := 1, 0
	askOthers := func() {
		for ; asked < len(peers); asked++ {
			go c.askOne(ctx, peers[asked], results)
		}
	}
	for heard < len(peers) {
		select {
		case r := <-results:
			heard++
			c.takeAnswer(r, a)
			if Decide(c.view(*a)) == Use {
				return
			}
			askOthers()
		case <-others.C:
			askOthers()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Copy) askOne(ctx context.Context, address string, results chan<- *peerAnswer) {
	sent := c.opts.Now()
	delta, err := c.opts.Ask(ctx, address, &wirepb.ConfigRequest{Identity: c.opts.Identity, Since: c.Version()})
	if err != nil {
		c.opts.Log.Debug("peer did not answer", "peer", address, "error", err)
		results <- nil
		return
	}
	results <- &peerAnswer{sent: sent, delta: delta}
}

func (c *Copy) takeAnswer(r *peerAnswer, a *answers) {
	if r == nil {
		return
	}
	a.heard++
	if r.delta.GetStoreAway() {
		a.away++
	}
	if err := c.merge(*r); err != nil {
		c.opts.Log.Warn("peer's configuration not applied", "error", err)
	}
}

// merge applies a peer's answer. The peer's confirmation counts with its age at the time the request was
// sent, so that ages add up over several hops. A peer with an older copy confirms nothing.
func (c *Copy) merge(r peerAnswer) error {
	before := c.Version()
	version := r.delta.GetVersion()
	if version < before || version <= 0 {
		return nil
	}
	entities, err := fromWire(r.delta.GetEntities(), version)
	if err != nil {
		return err
	}
	if err := c.apply(version, entities); err != nil {
		return err
	}
	if age := r.delta.GetConfirmedAgeMs(); age >= 0 && age <= maxAgeMS {
		c.confirm(r.sent.Add(-time.Duration(age) * time.Millisecond))
	}
	return nil
}

// askOverPool carries out the conversation with one peer.
func (c *Copy) askOverPool(ctx context.Context, address string, r *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
	return AskPeer(ctx, c.opts.Pool, address, r)
}

// AskPeer asks the process at address for the changes after a version. A failed conversation drops the
// session, so that the next one dials again.
func AskPeer(ctx context.Context, pool *transport.Pool, address string, r *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
	reply, err := Converse(ctx, pool, address, &wirepb.Envelope{Message: &wirepb.Envelope_ConfigRequest{ConfigRequest: r}})
	if err != nil {
		return nil, err
	}
	delta := reply.GetConfigDelta()
	if delta == nil {
		return nil, fmt.Errorf("peer %s answered with %T", address, reply.GetMessage())
	}
	return delta, nil
}

// Converse sends one frame and returns the first frame of the answer.
func Converse(ctx context.Context, pool *transport.Pool, address string, e *wirepb.Envelope) (*wirepb.Envelope, error) {
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
	reply, err := stream.Recv()
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			pool.Drop(address)
		}
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	return reply, nil
}
