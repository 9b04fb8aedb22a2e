package appointment

import (
	"fmt"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// maxPerUpdate bounds the changes in one update to a peer.
const maxPerUpdate = 64

// change is the beginning or the end of an appointment, which is sent to the peers.
type change struct {
	position uint64
	id       uint64
	until    time.Duration // when the peers need it no longer
	ended    bool
}

func (b *Book) announce(c change) {
	c.position = b.latest.Add(1)
	b.news = append(b.news, c)
	if len(b.news) > maxNews {
		b.news = append(b.news[:0], b.news[len(b.news)-maxNews/2:]...)
	}
}

// After returns the changes that this gateway made after a position that After returned before, or zero, and the position up to
// which it reports. It returns nil if there are none.
func (b *Book) After(now time.Duration, position uint64) (*wirepb.Appointments, uint64) {
	if b.latest.Load() == position {
		return nil, position
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.news) > 0 && b.news[0].until <= now {
		b.news = b.news[1:]
	}
	m := &wirepb.Appointments{}
	queues := make(map[Queue]*wirepb.AppointmentQueue)
	sent := 0
	for _, c := range b.news {
		if c.position <= position {
			continue
		}
		if sent == maxPerUpdate {
			return m, position
		}
		position = c.position
		if c.ended {
			m.Ended = append(m.Ended, c.id)
			sent++
			continue
		}
		e := b.entries[Key(c.id&keyMask)]
		if e == nil || e.id != c.id || e.returnAt <= now {
			continue
		}
		q := queues[e.queue]
		if q == nil {
			q = &wirepb.AppointmentQueue{Queue: uint32(e.queue)}
			queues[e.queue] = q
			m.Made = append(m.Made, q)
		}
		q.Ids = append(q.Ids, e.id)
		q.ReturnMs = append(q.ReturnMs, uint32((e.returnAt - now).Milliseconds()))
		q.Tokens = append(q.Tokens, uint32(e.tokens))
		q.Organisations = append(q.Organisations, uint32(e.organisation))
		sent++
	}
	position = b.latest.Load()
	if sent == 0 {
		return nil, position
	}
	return m, position
}

// Receive adds the appointments of a peer and ends those that have ended. It takes over what is valid; the error says what is not.
func (b *Book) Receive(now time.Duration, m *wirepb.Appointments) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var first error
	ignored := 0
	ignore := func(n int, err error) {
		if ignored += n; first == nil {
			first = err
		}
	}
	if n := len(m.GetEnded()); n > maxPerUpdate {
		ignore(n-maxPerUpdate, fmt.Errorf("%d appointments ended, the bound is %d", n, maxPerUpdate))
	}
	for _, id := range m.GetEnded()[:min(len(m.GetEnded()), maxPerUpdate)] {
		if e := b.entries[Key(id&keyMask)]; e != nil && e.id == id {
			b.remove(e)
		}
		b.remember(id, now)
	}
	left := maxPerUpdate
	for _, q := range m.GetMade() {
		n := len(q.GetIds())
		if n != len(q.GetReturnMs()) || n != len(q.GetTokens()) || n != len(q.GetOrganisations()) {
			ignore(n, fmt.Errorf("appointments with columns of %d, %d, %d and %d values", n, len(q.GetReturnMs()),
				len(q.GetTokens()), len(q.GetOrganisations())))
			continue
		}
		if n > left {
			ignore(n-left, fmt.Errorf("more than %d appointments made", maxPerUpdate))
		}
		for i := range min(n, left) {
			left--
			if err := b.receiveOne(now, q, i); err != nil {
				ignore(1, err)
			}
		}
	}
	if first != nil {
		return fmt.Errorf("%d appointments ignored: %w", ignored, first)
	}
	return nil
}

func (b *Book) receiveOne(now time.Duration, q *wirepb.AppointmentQueue, i int) error {
	returnIn, tokens := q.GetReturnMs()[i], q.GetTokens()[i]
	if time.Duration(returnIn)*time.Millisecond > MaxDelay || tokens > maxTokens {
		return fmt.Errorf("appointment in %d ms for %d tokens, the bounds are %v and %d", returnIn, tokens, MaxDelay, maxTokens)
	}
	e := &entry{
		id: q.GetIds()[i], queue: Queue(q.GetQueue()), organisation: Organisation(q.GetOrganisations()[i]),
		returnAt: now + time.Duration(returnIn)*time.Millisecond, tokens: int(tokens),
	}
	if until, ok := b.ended[e.id]; ok && until > now || now < b.closedUntil {
		return nil
	}
	if known := b.entries[e.key()]; known != nil {
		// Two gateways refused the caller before they heard of each other. All gateways keep the same one of the two.
		if known.id >= e.id {
			return nil
		}
		b.remove(known)
	}
	if b.mayAdd(e.organisation) {
		b.add(e)
	}
	return nil
}
