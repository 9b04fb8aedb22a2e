package duty_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/usage"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	simTick     = 50 * time.Millisecond
	simWindow   = 5 * time.Second
	simLate     = 10 * time.Second
	simLease    = 3 * time.Second
	simExchange = 250 * time.Millisecond
	simCopyAge  = 12 * time.Second
	// maxTransit is the longest time that a call that was permitted takes to arrive. Longer ones are given up by the connection.
	maxTransit = duty.SendMargin - simTick
)

// simStart is the wall clock at the start of a simulation.
var simStart = time.Unix(1_767_226_000, 0)

var errSim = errors.New("simulated failure")

// simProcess is a gateway process. Each of its loops runs on its own: one that waits for a call does not delay the others.
type simProcess struct {
	host        string
	incarnation string
	dead        bool
	refuses     bool // begins no requests any more, as in a planned stop
	frozenUntil time.Duration
	freezeCall  time.Duration // the process freezes for this time in its next call to the store
	freezeSend  time.Duration // likewise, before its next call to the cloud interface
	freezeRow   time.Duration // likewise, before its next write of a usage row
	released    bool          // gave up the lease
	cutStore    time.Duration // until when it does not reach the store
	cutPeers    time.Duration // until when it does not reach other gateways
	storeEra    int64         // latest one in an answer of the store
	lease       *duty.Lease
	ledger      *usage.Ledger
	metering    *duty.Metering
	loops       [4]simLoop
}

type simLoop struct {
	run  func()
	next time.Duration
	busy bool
}

// simFleet simulates gateways, the store and the cloud interface with one clock, without goroutines: a call that takes time runs the
// others meanwhile.
type simFleet struct {
	now                                time.Duration
	random                             *rand.Rand
	processes                          []*simProcess // the running ones
	started                            int
	later                              []simEvent
	rows                               map[string]platform.Row
	version                            int64 // without the era
	era                                int64
	copies                             []simCopy     // of the last simCopyAge, a second apart
	first                              int64         // window of the first row of usage, or zero
	storeDown, cloudDown, cloudLimited time.Duration // until when
	storeSlow                          time.Duration
	loseAnswers                        float64 // fraction of calls

	calls     []fake.CloudCall
	rewritten int                        // rows of usage that were written again with other counts
	unleased  int                        // calls that arrived after the lease under which they were sent had ended
	truth     map[int64]map[string]int64 // requests by window and organisation
	lost      map[int64]map[string]int64 // of them, counted shortly before the end of their process
	fresh     []simRequest               // counted recently
}

// simCopy is what the store contained at a time.
type simCopy struct {
	at      time.Duration
	rows    map[string]platform.Row
	version int64
}

type simEvent struct {
	at time.Duration
	do func()
}

type simRequest struct {
	process *simProcess
	at      time.Duration
	window  int64
	org     string
}

func newSimFleet(seed uint64) *simFleet {
	return &simFleet{
		now: time.Hour, era: 1, random: rand.New(rand.NewPCG(seed, 1)), rows: make(map[string]platform.Row),
		truth: make(map[int64]map[string]int64), lost: make(map[int64]map[string]int64),
	}
}

// startSimFleet starts some hosts and lets some seconds pass. It draws the seed first: saved failures depend on the order.
func startSimFleet(t *rapid.T, hosts, seconds *rapid.Generator[int]) *simFleet {
	s := newSimFleet(rapid.Uint64().Draw(t, "seed"))
	for i := range hosts.Draw(t, "hosts") {
		s.start(fmt.Sprint("g", i))
	}
	s.advance(time.Duration(seconds.Draw(t, "start s")) * time.Second)
	return s
}

func (s *simFleet) clock() time.Duration { return s.now }
func (s *simFleet) wall() time.Time      { return simStart.Add(s.now) }

func (s *simFleet) start(host string) *simProcess { return s.startProcess(host, false) }

// startAgain starts a process on a host in a fleet that has run before.
func (s *simFleet) startAgain(host string) *simProcess { return s.startProcess(host, true) }

func (s *simFleet) startProcess(host string, restarted bool) *simProcess {
	s.started++
	p := &simProcess{host: host, incarnation: fmt.Sprint(host, "#", s.started)}
	log := slog.New(slog.DiscardHandler)
	store := &simStore{s, p}
	p.lease = duty.NewLease(duty.LeaseOptions{
		Store: store, Host: host, Incarnation: p.incarnation, Clock: s.clock, Log: log, HandoverPause: simLease, Restarted: restarted,
		Demand: func() map[string]float64 { return nil }, OnAcquired: func(map[string]float64) {},
	})
	p.ledger = usage.NewLedger(simWindow, p.incarnation)
	client := duty.NewClient(duty.ClientOptions{Cloud: &simCloud{s, p}, Holder: p.lease, Clock: s.clock, Host: host, CallsPerSecond: 50})
	p.metering = duty.NewMetering(duty.MeteringOptions{
		Store: store, Epoch: p.lease.Epoch, Era: func() int64 { return p.storeEra }, Report: client.Report, Ledger: p.ledger, Window: simWindow, Late: simLate,
		Clock: s.clock, Wall: s.wall, Log: log,
	})
	ctx := context.Background()
	p.loops[0].run = func() { p.lease.Step(ctx) }
	p.loops[1].run = func() { p.metering.Settle(ctx) }
	p.loops[2].run = func() { p.metering.Send(ctx) }
	p.loops[3].run = func() { s.exchange(p) }
	s.processes = append(s.processes, p)
	return p
}

// pause returns the time between two runs of a loop.
func (s *simFleet) pause(p *simProcess, loop int) time.Duration {
	switch loop {
	case 0:
		if p.lease.Epoch() != 0 && !p.lease.RenewalFailed() {
			return duty.RenewInterval
		}
		return time.Duration(200+s.random.IntN(400)) * time.Millisecond
	case 1:
		return 200 * time.Millisecond
	case 2:
		return simTick
	}
	return simExchange
}

// advance lets time pass.
func (s *simFleet) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simTick
		if len(s.copies) == 0 || s.now-s.copies[len(s.copies)-1].at >= time.Second {
			s.copies = append(s.copies, simCopy{s.now, maps.Clone(s.rows), s.version})
			s.copies = slices.DeleteFunc(s.copies, func(c simCopy) bool { return s.now-c.at > simCopyAge })
		}
		for i := 0; i < len(s.later); i++ {
			if e := s.later[i]; s.now >= e.at {
				s.later = slices.Delete(s.later, i, i+1)
				e.do()
				i = -1
			}
		}
		for _, p := range slices.Clone(s.processes) {
			s.count(p)
			for i := range p.loops {
				if l := &p.loops[i]; !p.dead && !l.busy && s.now >= p.frozenUntil && s.now >= l.next {
					l.busy = true
					l.run()
					l.busy, l.next = false, s.now+s.pause(p, i)
				}
			}
		}
	}
}

// wait lets time pass in a call of p, and reports whether p still runs. A freeze lengthens it.
func (s *simFleet) wait(p *simProcess, d time.Duration) bool {
	s.advance(d)
	for !p.dead && s.now < p.frozenUntil {
		s.advance(simTick)
	}
	return !p.dead
}

// count lets some requests begin at p.
func (s *simFleet) count(p *simProcess) {
	if p.dead || p.refuses || s.now < p.frozenUntil {
		return
	}
	window := usage.WindowAt(s.wall(), simWindow)
	for _, org := range []string{"org-a", "org-b"} {
		if s.random.IntN(2) == 0 {
			continue
		}
		p.ledger.Count(org, s.wall())
		add(s.truth, window, org)
		s.fresh = append(s.fresh, simRequest{p, s.now, window, org})
	}
	for len(s.fresh) > 0 && s.fresh[0].at < s.now-5*time.Second {
		s.fresh = s.fresh[1:]
	}
}

func add(m map[int64]map[string]int64, window int64, org string) {
	if m[window] == nil {
		m[window] = make(map[string]int64)
	}
	m[window][org]++
}

// kill ends a process without notice. What it counted within the last unreported time counts as lost.
func (s *simFleet) kill(p *simProcess, unreported time.Duration) {
	p.dead = true
	s.processes = slices.DeleteFunc(s.processes, func(o *simProcess) bool { return o == p })
	for _, r := range s.fresh {
		if r.process == p && r.at >= s.now-unreported {
			add(s.lost, r.window, r.org)
		}
	}
}

// exchange sends what p knows to the others, as package peers does.
func (s *simFleet) exchange(p *simProcess) {
	report := p.ledger.Report(s.wall())
	epoch := p.lease.Epoch()
	var standby *simProcess
	for _, o := range s.processes {
		if s.connected(p, o) && o.lease.Epoch() == 0 && (standby == nil || o.host > standby.host) {
			standby = o
		}
	}
	for _, o := range s.processes {
		if !s.connected(p, o) {
			continue
		}
		if epoch != 0 {
			o.lease.ObserveEpoch(epoch)
		}
		holder := o.lease.Epoch() != 0
		update := new(wirepb.UsageReport)
		if epoch != 0 {
			update.Settled = report.GetSettled()
		}
		if holder || o == standby {
			update.Closed = report.GetClosed()
			for _, c := range report.GetCounts() {
				if c.GetSource() == "" || holder {
					update.Counts = append(update.Counts, c)
				}
			}
		}
		o.ledger.Receive(p.incarnation, update, s.wall())
	}
}

// restoreStore restores the store from a copy that was taken some time ago, or a little earlier.
func (s *simFleet) restoreStore(age time.Duration) {
	i := len(s.copies) - 1
	for i > 0 && s.now-s.copies[i].at < age {
		i--
	}
	s.rows, s.version = maps.Clone(s.copies[i].rows), s.copies[i].version
	s.copies = s.copies[:i+1]
	s.era++
}

func (s *simFleet) connected(a, b *simProcess) bool {
	return a != b && s.now >= a.cutPeers && s.now >= b.cutPeers && s.now >= b.frozenUntil
}

// simCloud is the cloud interface as one process reaches it.
type simCloud struct {
	fleet   *simFleet
	process *simProcess
}

func (c *simCloud) Send(_ context.Context, holder string, token int64, call platform.CloudCall, permitted func() error) error {
	s, p := c.fleet, c.process
	p.frozenUntil, p.freezeSend = max(p.frozenUntil, s.now+p.freezeSend), 0
	if !s.wait(p, 0) {
		return errSim
	}
	if err := permitted(); err != nil {
		return err
	}
	body, err := json.Marshal(call)
	if err != nil {
		return err
	}
	start, done := s.now, s.now < s.cloudDown
	var status error
	if !done {
		s.later = append(s.later, simEvent{s.now + time.Duration(s.random.Int64N(int64(maxTransit))), func() {
			if done = true; s.now < s.cloudLimited && s.random.IntN(2) == 0 {
				status = &platform.CloudStatusError{Status: 429}
				return
			}
			if !p.dead && !p.released && p.lease.Epoch() != token {
				s.unleased++
			}
			s.calls = append(s.calls, fake.CloudCall{At: s.now, Path: "/usage", Holder: holder, Token: token, Body: string(body)})
		}})
	}
	for !done && s.wait(p, simTick) {
	}
	if s.now < s.cloudDown || s.random.Float64() < s.loseAnswers {
		s.wait(p, duty.AnswerTimeout-min(duty.AnswerTimeout, s.now-start))
		return errSim
	}
	return status
}
