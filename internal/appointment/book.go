// Package appointment reserves capacity for callers that were refused for lack of room and return at the advised time. Use
// it in a gateway that refuses requests with a Retry-After, and whose callers' retries reach other gateways.
//
// A Book plans the times at which callers return, one after the other at the rate at which the servers process prompts, and
// knows the appointments of all gateways. It has no clock, network or globals.
package appointment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinDelay is the shortest time until a caller may return. It covers the longest interval between two updates of a gateway to
	// its peers (250 ms), because the caller is likely to return to another gateway.
	MinDelay = 300 * time.Millisecond
	// MaxDelay is the longest time until a caller may return. With grace, an appointment lasts for 5 s at most.
	MaxDelay = 3500 * time.Millisecond
	// grace is the time after the return time at which an appointment expires.
	grace = 1500 * time.Millisecond
	// earlyTolerance is the time before the return time from which a caller counts as punctual. It covers the way of the refusal
	// and of the message by which the other gateways learn of the appointment.
	earlyTolerance = 50 * time.Millisecond
	// maxWaitShare is the part of its time left for which a caller honours Retry-After.
	maxWaitShare = 1.0 / 3
	// returnShare is the part of the servers' rate that is planned for returning callers. The rest serves new requests.
	returnShare = 0.5
	// keepBefore and keepAfter are the times before and after the return time in which room is kept for a caller.
	keepBefore, keepAfter = 300 * time.Millisecond, 100 * time.Millisecond

	// maxKnown bounds the appointments that a gateway knows, maxPerOrganisation those of each organisation among them.
	maxKnown, maxPerOrganisation = 512, 64
	// maxEnded bounds the ended appointments that a gateway remembers, and maxNews the changes that it can still send.
	maxEnded, maxNews = 1024, 1024
	// maxTokens bounds the work of an appointment.
	maxTokens = 1 << 22

	// bytesPerSecond bounds the bytes that the gateway sends to all peers for its appointments, and bytesPerPeer is what one takes
	// for each peer: about 35 bytes when it is made and 13 when it ends, if each has a message of its own.
	bytesPerSecond, bytesPerPeer = 2000, 48
	// maxBurst is the number of appointments that may be made at once within bytesPerSecond.
	maxBurst = 8
)

// keyMask selects the part of an appointment's ID that depends on the caller's request only.
const keyMask = ^uint64(0xffff)

// Key identifies a caller that may return.
type Key uint64

// NewKey returns the key of a request: of its organisation, service, model and the last part of its prompt.
func NewKey(organisation, service, model, part string) Key {
	return Key(xxhash.Sum64String(organisation+"\x00"+service+"\x00"+model+"\x00"+part) & keyMask)
}

// Queue identifies a model of a service.
type Queue uint32

// NewQueue returns the queue of a model of a service.
func NewQueue(service, model string) Queue {
	return Queue(xxhash.Sum64String(service + "\x00" + model))
}

// Organisation is the hash of an organisation's name.
type Organisation uint32

// NewOrganisation returns the hash of an organisation's name.
func NewOrganisation(name string) Organisation { return Organisation(xxhash.Sum64String(name)) }

// Request is a request that is refused.
type Request struct {
	Key          Key
	Queue        Queue
	Organisation Organisation
	Tokens       float64       // uncached prompt tokens
	CapacityIn   time.Duration // after which capacity is expected
	Rate         float64       // prompt tokens per millisecond that all candidates process together
	Left         time.Duration // until the caller's deadline
	Peers        int           // gateways that are notified
}

// Outcome says what became of a request for an appointment, or of a caller that may have one.
type Outcome int

// The outcomes.
const (
	None     Outcome = iota // there is no appointment
	Made                    // the appointment is new
	Kept                    // an earlier appointment remains
	Early                   // the caller has an appointment and came before its time
	Redeemed                // the caller returned at the advised time
)

// Stats counts appointments since the start. Made and Expired are those of this gateway, Redeemed and Early those whose callers
// came to this gateway.
type Stats struct{ Made, Redeemed, Expired, Early int64 }

type entry struct {
	id           uint64
	queue        Queue
	organisation Organisation
	returnAt     time.Duration
	tokens       int
	own          bool // made by this gateway
}

func (e *entry) key() Key { return Key(e.id & keyMask) }

// compareReturn orders appointments by return time.
func compareReturn(e *entry, returnAt time.Duration) int { return cmp.Compare(e.returnAt, returnAt) }

func (e *entry) expiresAt() time.Duration { return e.returnAt + grace }

// Book holds the appointments that a gateway knows. It is safe for concurrent use.
type Book struct {
	known  atomic.Int64
	latest atomic.Uint64 // position of the latest change to be sent

	mu            sync.Mutex
	random        *rand.Rand
	entries       map[Key]*entry
	queues        map[Queue][]*entry       // the same ones by return time
	organisations map[Organisation]int     // appointments of each
	ended         map[uint64]time.Duration // until when an appointment that ended is remembered, by ID
	closedUntil   time.Duration            // until when no appointments of peers are taken, because one that ended may be forgotten
	nextExpiry    time.Duration            // no appointment expires before
	news          []change
	bytes         float64 // that may be sent now
	refilledAt    time.Duration
	stats         Stats
}

// New returns a book without appointments. seed should differ between gateways.
func New(seed uint64) *Book {
	return &Book{
		random: rand.New(rand.NewPCG(seed, 0)), entries: make(map[Key]*entry), queues: make(map[Queue][]*entry), organisations: make(map[Organisation]int),
		ended: make(map[uint64]time.Duration), bytes: bytesPerSecond,
	}
}

// Known returns the number of appointments that the gateway knows. Some of them may have expired.
func (b *Book) Known() int { return int(b.known.Load()) }

// Stats returns the numbers of appointments since the start.
func (b *Book) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Make returns the time after which the caller of a refused request should return, and makes an appointment for it unless the
// caller has one, the bounds are reached or the caller would not wait that long.
func (b *Book) Make(now time.Duration, r Request) (returnIn time.Duration, id uint64, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	longest := min(MaxDelay, time.Duration(maxWaitShare*float64(r.Left)))
	if e := b.entries[r.Key]; e != nil && e.returnAt > now {
		return e.returnAt - now, e.id, Kept
	}
	returnIn = b.plan(now, r)
	if returnIn > longest || !b.mayAdd(r.Organisation) || !b.takeBytes(now, r.Peers) {
		return returnIn, 0, None
	}
	if e := b.entries[r.Key]; e != nil { // its time has passed while the request waited
		b.end(e, now)
	}
	e := &entry{
		id: b.newID(r.Key), queue: r.Queue, organisation: r.Organisation,
		returnAt: now + returnIn, tokens: int(min(max(0, r.Tokens), maxTokens)), own: true,
	}
	b.add(e)
	b.announce(change{id: e.id, until: e.expiresAt()})
	b.stats.Made++
	return returnIn, e.id, Made
}

// newID returns an ID for an appointment of a caller. One that ended a short time ago is not used again: the peers would take the new
// appointment for it and ignore it.
func (b *Book) newID(key Key) uint64 {
	for {
		id := uint64(key)&keyMask | b.random.Uint64()&^keyMask
		if _, used := b.ended[id]; !used {
			return id
		}
	}
}

// Redeem ends the appointment of a caller that returned at the advised time, and reports when the caller was due. A caller that arrived before
// its time keeps its appointment.
func (b *Book) Redeem(now, arrivedAt time.Duration, key Key) (returnAt time.Duration, id uint64, outcome Outcome) {
	if b.known.Load() == 0 {
		return 0, 0, None
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	e := b.entries[key]
	switch {
	case e == nil:
		return 0, 0, None
	case arrivedAt < e.returnAt-earlyTolerance:
		b.stats.Early++
		return e.returnAt, e.id, Early
	}
	b.end(e, now)
	b.stats.Redeemed++
	return e.returnAt, e.id, Redeemed
}

// Cancel ends the appointment of a caller whose request was served before its time.
func (b *Book) Cancel(now time.Duration, key Key) {
	if b.known.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	if e := b.entries[key]; e != nil {
		b.end(e, now)
	}
}

// end removes an appointment and announces its end.
func (b *Book) end(e *entry, now time.Duration) {
	b.remove(e)
	b.remember(e.id, now)
	b.announce(change{id: e.id, until: e.expiresAt(), ended: true})
}

func (b *Book) mayAdd(o Organisation) bool {
	return len(b.entries) < maxKnown && b.organisations[o] < maxPerOrganisation
}

func (b *Book) add(e *entry) {
	if len(b.entries) == 0 || e.expiresAt() < b.nextExpiry {
		b.nextExpiry = e.expiresAt()
	}
	b.entries[e.key()] = e
	list := b.queues[e.queue]
	at, _ := slices.BinarySearchFunc(list, e.returnAt, compareReturn)
	b.queues[e.queue] = slices.Insert(list, at, e)
	b.organisations[e.organisation]++
	b.known.Store(int64(len(b.entries)))
}

func (b *Book) remove(e *entry) {
	delete(b.entries, e.key())
	list := slices.DeleteFunc(b.queues[e.queue], func(other *entry) bool { return other == e })
	if b.queues[e.queue] = list; len(list) == 0 {
		delete(b.queues, e.queue)
	}
	if b.organisations[e.organisation]--; b.organisations[e.organisation] == 0 {
		delete(b.organisations, e.organisation)
	}
	b.known.Store(int64(len(b.entries)))
}

// remember records that an appointment has ended, so that a message that arrives late does not add it again.
func (b *Book) remember(id uint64, now time.Duration) {
	if len(b.ended) >= maxEnded {
		for id, until := range b.ended {
			if until <= now {
				delete(b.ended, id)
			}
		}
	}
	if len(b.ended) >= maxEnded {
		b.closedUntil = now + MaxDelay + grace
		return
	}
	b.ended[id] = now + MaxDelay + grace
}

// expire removes the appointments whose time has passed.
func (b *Book) expire(now time.Duration) {
	if len(b.entries) == 0 || now < b.nextExpiry {
		return
	}
	b.nextExpiry = now + MaxDelay + grace
	for _, e := range b.entries {
		if e.expiresAt() > now {
			b.nextExpiry = min(b.nextExpiry, e.expiresAt())
			continue
		}
		if e.own {
			b.stats.Expired++
		}
		b.remove(e)
	}
}

// takeBytes reports whether one more appointment may be sent to the peers.
func (b *Book) takeBytes(now time.Duration, peers int) bool {
	cost := float64(bytesPerPeer * max(0, peers))
	b.bytes = min(b.bytes+(now-b.refilledAt).Seconds()*bytesPerSecond, max(maxBurst*cost, bytesPerSecond))
	b.refilledAt = now
	if b.bytes < cost {
		return false
	}
	b.bytes -= cost
	return true
}
