package peers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// maintainStream keeps a stream to a peer open until ctx ends. It reconnects after failures.
func (m *Mesh) maintainStream(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		dial, cancel := context.WithTimeout(ctx, sendTimeout)
		stream, err := m.opts.Pool.Open(dial, p.address)
		cancel()
		if err == nil {
			err = m.sendUpdates(ctx, p, stream)
			_ = stream.Close()
			m.opts.Pool.Drop(p.address)
		}
		if ctx.Err() == nil {
			m.opts.Log.Info("stream to peer ended; reconnecting", "peer", p.address, "error", err)
		}
		if background.Sleep(ctx, redialPause/2+rand.N(redialPause)) != nil {
			return
		}
	}
}

// sendUpdates sends changes to a peer, and all rows if the peer lacks some. It returns when the stream fails, the peer ends
// it, or ctx ends.
func (m *Mesh) sendUpdates(ctx context.Context, p *peer, stream *transport.Stream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	// yamux accepts writes on a stream that the peer has closed. The peer sends nothing, so a read returns at the end.
	m.wg.Go(func() {
		_, err := stream.Recv()
		if err == nil {
			err = errors.New("unexpected message")
		}
		cancel(fmt.Errorf("the peer ended the stream: %w", err))
	})
	for p.rows.Len() > 0 {
		<-p.rows.C() // queued before the stream was opened; if the peer lacks them, it gets all rows
	}
	source := m.opts.Source
	sent := newSentState()
	u := &wirepb.PeerUpdate{Identity: m.opts.Identity, RequestsRows: true, StoreEras: true}
	var pending []*wirepb.StoreRow
	lastSend := time.Now()
	differsSince := time.Now()
	var lastFreshness time.Time
	guardPosition, appointmentsPosition := uint64(0), uint64(0)
	for {
		own := m.currentState()
		epoch := m.peerPlannerEpoch(p)
		planner := epoch != 0
		sent.addChanges(u, own, planner)
		sent.addUsage(u, own, p.address, planner)
		sent.addScale(u, own, epoch)
		if time.Since(lastFreshness) >= freshnessInterval && (own.readsStore || m.provides(p)) {
			u.Freshness, lastFreshness = own.freshness, time.Now()
		}
		u.Guard, guardPosition = source.Guard(guardPosition, m.provides(p))
		if m.opts.Appointments != nil {
			u.Appointments, appointmentsPosition = m.opts.Appointments(appointmentsPosition)
		}
		if u.GetKnowledge() == 0 || u.GetKnowledge() == m.peerRowsHash(p) {
			differsSince = time.Now()
		} else if time.Since(differsSince) >= m.resyncDelayFor(p) {
			pending = source.Rows()
			m.opts.Log.Info("sending all rows to peer, because its rows differ", "peer", p.address, "rows", len(pending),
				"differs_for", time.Since(differsSince))
			differsSince = time.Now().Add(resyncPause)
		}
		u.Rows, u.Offers, pending = nextRows(pending, m.peerRequestsRows(p))
		m.mu.Lock()
		u.Leaving = m.leaving
		m.mu.Unlock()
		if !sent.unchanged(u) || time.Since(lastSend) >= keepaliveInterval {
			if err := writeUpdate(stream, u); err != nil {
				return err
			}
			lastSend = time.Now()
		}
		u = new(wirepb.PeerUpdate)
		if len(pending) > 0 {
			continue
		}
		var err error
		if pending, err = m.awaitRows(ctx, p); err != nil {
			return err
		}
	}
}

// writeUpdate writes one update. It fails if that takes longer than sendTimeout.
func writeUpdate(stream *transport.Stream, u *wirepb.PeerUpdate) error {
	start := time.Now()
	if err := stream.SetWriteDeadline(start.Add(sendTimeout)); err != nil {
		return err
	}
	if err := stream.Send(wire.PeerUpdate(u)); err != nil {
		return fmt.Errorf("update with %d bytes of rows not written in %v: %w", rowBytes(u.GetRows()), time.Since(start), err)
	}
	return nil
}

// awaitRows waits until the next update is due and returns the queued rows for it. An update is due at once when a row is
// queued, and otherwise after the update interval.
func (m *Mesh) awaitRows(ctx context.Context, p *peer) ([]*wirepb.StoreRow, error) {
	var rows []*wirepb.StoreRow
	select {
	case r := <-p.rows.C():
		rows = append(rows, r)
		for p.rows.Len() > 0 {
			rows = append(rows, <-p.rows.C())
		}
	case <-time.After(m.updateInterval()):
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	return rows, nil
}
