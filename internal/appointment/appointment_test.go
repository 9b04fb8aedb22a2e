package appointment_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/appointment"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

var queue = appointment.NewQueue("s", "m")

func refused(organisation, part string, tokens float64) appointment.Request {
	return appointment.Request{
		Key: appointment.NewKey(organisation, "s", "m", part), Queue: queue, Organisation: appointment.NewOrganisation(organisation),
		Tokens: tokens, Rate: 20, Left: 15 * time.Second,
	}
}

func mustMake(t *testing.T, b *appointment.Book, now time.Duration, r appointment.Request) time.Duration {
	t.Helper()
	in, _, outcome := b.Make(now, r)
	if outcome != appointment.Made {
		t.Fatalf("no appointment: outcome %d, return in %v", outcome, in)
	}
	return in
}

func pass(t *testing.T, from, to *appointment.Book, now time.Duration, position *uint64) {
	t.Helper()
	var m *wirepb.Appointments
	if m, *position = from.After(now, *position); m != nil {
		if err := to.Receive(now, m); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against an appointment that another gateway doesn't know, that is redeemed twice, or that a caller redeems early.
func TestAnAppointmentIsRedeemedOnceAtAnotherGateway(t *testing.T) {
	made, other := appointment.New(1), appointment.New(2)
	var there, back uint64
	r := refused("o", "part", 900)
	returnAt := mustMake(t, made, 0, r)
	pass(t, made, other, 0, &there)
	for before, want := range map[time.Duration]time.Duration{400: 0, 100: 0, 40: 50 * time.Millisecond, 0: 90 * time.Millisecond} {
		if got := other.Due(returnAt-before*time.Millisecond, queue, 10); got != want {
			t.Fatalf("%d ms before the return of 90 ms of work, room is kept for %v", before, got)
		}
	}
	if _, _, outcome := other.Redeem(100*time.Millisecond, 100*time.Millisecond, r.Key); outcome != appointment.Early {
		t.Fatalf("an early caller: outcome %d", outcome)
	}
	if _, _, outcome := other.Redeem(returnAt, 100*time.Millisecond, r.Key); outcome != appointment.Early {
		t.Fatalf("a caller that came early and waited: outcome %d", outcome)
	}
	if in, _, outcome := other.Make(100*time.Millisecond, r); outcome != appointment.Kept || in != returnAt-100*time.Millisecond {
		t.Fatalf("an early caller that is refused again returns in %v, outcome %d", in, outcome)
	}
	if _, _, outcome := other.Redeem(returnAt, returnAt, r.Key); outcome != appointment.Redeemed {
		t.Fatalf("a punctual caller: outcome %d", outcome)
	}
	pass(t, other, made, returnAt, &back)
	there = 0 // a new stream begins
	pass(t, made, other, returnAt, &there)
	for _, b := range []*appointment.Book{made, other} {
		if _, _, outcome := b.Redeem(returnAt, returnAt, r.Key); outcome != appointment.None || b.Known() != 0 {
			t.Fatalf("redeemed again: outcome %d, %d known", outcome, b.Known())
		}
	}
}

// Guards against returns that come together, and against an organisation whose many refusals push back those of the others.
func TestReturnsAreSpreadFairly(t *testing.T) {
	b := appointment.New(1)
	var last time.Duration
	for i := range 20 {
		in := mustMake(t, b, 0, refused("greedy", fmt.Sprint(i), 500))
		if spread := in - last; i > 0 && spread < 50*time.Millisecond { // 500 tokens at half of 20 tokens/ms
			t.Fatalf("return %d comes %v after the one before", i, spread)
		}
		last = in
	}
	if in := mustMake(t, b, 0, refused("modest", "a", 500)); in > last+51*time.Millisecond {
		t.Fatalf("the first return of another organisation is in %v, the last one in %v", in, last)
	}
	first := mustMake(t, b, 0, refused("modest", "b", 500))
	if greedy, _, _ := b.Make(0, refused("greedy", "more", 500)); greedy <= first {
		t.Fatalf("greedy in %v, modest in %v", greedy, first)
	}
}

// Guards against appointments that the caller won't keep, because it waits for a third of its time at most.
func TestNoAppointmentBeyondAThirdOfTheTimeLeft(t *testing.T) {
	b, r := appointment.New(1), refused("o", "p", 100)
	r.CapacityIn, r.Left = 1100*time.Millisecond, 3*time.Second
	if in, _, outcome := b.Make(0, r); outcome != appointment.None || in < r.CapacityIn || b.Known() != 0 {
		t.Fatalf("outcome %d, return in %v", outcome, in)
	}
}

// Guards against appointments whose number or bytes grow with the refusals.
func TestNumberAndBytesAreBounded(t *testing.T) {
	for _, c := range []struct{ organisations, refusals, peers, most int }{{1, 200, 0, 64}, {20, 1200, 0, 512}, {20, 1200, 27, 8}} {
		b, made := appointment.New(1), 0
		for i := range c.refusals {
			r := refused(fmt.Sprint(i%c.organisations), fmt.Sprint(i), 1)
			r.Rate, r.Peers = 1e6, c.peers
			if _, _, outcome := b.Make(time.Hour, r); outcome == appointment.Made {
				made++
			}
		}
		if made != c.most {
			t.Errorf("%+v: %d appointments", c, made)
		}
	}
}

// Guards against appointments that exceed a bound, last for longer than 5 s, are redeemed more than once between two exchanges at
// different gateways, or by a caller that has none.
func TestAppointmentsAreBoundedAndRedeemedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 3
		var books [gateways]*appointment.Book
		var positions [gateways][gateways]uint64
		for i := range books {
			books[i] = appointment.New(uint64(i))
		}
		exchange := func(now time.Duration) {
			for from := range books {
				for to := range books {
					for from != to {
						m, position := books[from].After(now, positions[from][to])
						positions[from][to] = position
						if m == nil {
							break
						}
						if size := proto.Size(m); size > 64*20+200 {
							t.Fatalf("an update of %d bytes", size)
						}
						if err := books[to].Receive(now, m); err != nil {
							t.Fatal(err)
						}
					}
				}
			}
		}
		redeemed, made := map[uint64]int{}, map[uint64]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			b := books[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
			r := refused(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "organisation")), fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "part")), 300)
			r.Peers = gateways - 1
			if rapid.Bool().Draw(t, "refuse") {
				in, id, outcome := b.Make(now, r)
				if outcome == appointment.Made {
					made[id] = now
				}
				if outcome != appointment.None && in > 3500*time.Millisecond {
					t.Fatalf("return in %v", in)
				}
			} else if _, id, outcome := b.Redeem(now, now, r.Key); outcome == appointment.Redeemed {
				if redeemed[id]++; redeemed[id] > 1 {
					t.Fatal("redeemed twice although the gateways exchanged their changes")
				}
				if at, ok := made[id]; !ok || now-at > 5*time.Second {
					t.Fatalf("appointment of %v redeemed at %v", at, now)
				}
			}
			exchange(now)
			if b.Known() > 512 || b.Due(now, queue, 1) > 3*64*300*time.Millisecond {
				t.Fatalf("%d known, room for %v", b.Known(), b.Due(now, queue, 1))
			}
		}
		now += 6 * time.Second
		for _, b := range books {
			if b.Due(now, queue, 1) != 0 || b.Known() != 0 {
				t.Fatalf("%d appointments outlive their expiry", b.Known())
			}
		}
	})
}

// Guards against an appointment that the peers ignore because an earlier one of the same caller had its ID.
func TestTheIDOfAnEndedAppointmentIsNotUsedAgain(t *testing.T) {
	b, r, used := appointment.New(1), refused("0", "0", 300), make(map[uint64]bool)
	for i := range 600 {
		now := time.Duration(i) * 6 * time.Millisecond // all within the time for which ends are remembered
		_, id, outcome := b.Make(now, r)
		if outcome != appointment.Made || used[id] {
			t.Fatalf("appointment %d: outcome %v, ID %x used before: %v", i, outcome, id, used[id])
		}
		used[id] = true
		b.Cancel(now, r.Key)
	}
}

// Guards against a peer whose values are out of bounds, of which valid ones get lost or invalid ones are taken over.
func FuzzReceive(f *testing.F) {
	valid := &wirepb.AppointmentQueue{Queue: uint32(queue), Ids: []uint64{0xabcffff}, ReturnMs: []uint32{500}, Tokens: []uint32{70},
		Organisations: []uint32{1}}
	for _, m := range []*wirepb.Appointments{
		{Made: []*wirepb.AppointmentQueue{valid}},
		{Made: []*wirepb.AppointmentQueue{{Ids: []uint64{1, 2}, ReturnMs: []uint32{1}}}, Ended: []uint64{1, 2}},
		{Made: []*wirepb.AppointmentQueue{{Ids: []uint64{1}, ReturnMs: []uint32{1 << 31}, Tokens: []uint32{1 << 31}, Organisations: []uint32{0}}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := new(wirepb.Appointments)
		if proto.Unmarshal(data, m) != nil {
			return
		}
		b := appointment.New(1)
		mine := refused("mine", "part", 10)
		mustMake(t, b, 0, mine)
		for _, id := range m.GetEnded() {
			if id>>16 == 0xabc || id>>16 == uint64(mine.Key)>>16 {
				return
			}
		}
		// An update of the fuzzer, which may have taken the place of the valid appointment, comes first.
		m.Made = append([]*wirepb.AppointmentQueue{valid}, m.GetMade()...)
		_ = b.Receive(0, m) // the error is for the log
		if b.Known() > 512 || b.Due(500*time.Millisecond, queue, 1) < 70*time.Millisecond {
			t.Fatalf("%d known, room for %v", b.Known(), b.Due(500*time.Millisecond, queue, 1))
		}
		b.Due(6*time.Second, queue, 1)
		if b.Known() != 0 {
			t.Fatalf("%d appointments outlive their expiry", b.Known())
		}
	})
}
