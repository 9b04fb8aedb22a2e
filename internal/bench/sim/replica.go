package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/admission"
	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/ledger"
	"github.com/pomelowheel/pomelowheel/internal/route"
)

// maxPrefixes bounds the prefix hashes of a status, as in the sidecar.
const maxPrefixes = 64

// replica is a sidecar with the backend server beside it.
type replica struct {
	w       *world
	service *scenario.Service
	centre  *centre
	address string

	queue    *admission.Queue
	ramp     *admission.Ramp
	ledger   *ledger.Ledger
	tasks    map[*admission.Item]*task
	resident map[string]bool
	adapters recent
	prefixes recent // served lately, as the status tells
	tokens   map[string]int64
	out      bool
	lost     bool

	// The engine.
	cache       recent // prompt prefixes
	running     int
	startedAt   time.Duration
	downUntil   time.Duration
	incarnation int
	adapterJobs int // adapter loads in flight
}

// recent is a bounded list of names, the most recently used last.
type recent struct {
	names   []string
	limit   int
	evicted int
}

func (l *recent) has(name string) bool { return slices.Contains(l.names, name) }

func (l *recent) use(name string) {
	if name == "" || l.limit == 0 {
		return
	}
	l.names = slices.DeleteFunc(l.names, func(n string) bool { return n == name })
	if len(l.names) >= l.limit {
		l.names = slices.Delete(l.names, 0, 1)
		l.evicted++
	}
	l.names = append(l.names, name)
}

func (r *replica) isModel() bool { return r.service.Kind == "model" }

func (r *replica) incarnationID() string { return fmt.Sprint(r.incarnation) }

// status returns what the sidecar tells the gateways.
func (r *replica) status() route.Replica {
	limit := r.ramp.Limit()
	s := route.Replica{
		Address: r.address, DataCentre: r.centre.Name, Service: r.service.Name, Plain: !r.isModel(),
		Running: int64(r.queue.Running()), Queued: int64(r.queue.Queued()), Limit: int64(limit),
		QueueMS: r.queue.Wait(new(admission.Item), limit).Milliseconds(), Out: r.out, Ready: r.w.now >= r.downUntil,
	}
	if r.isModel() {
		s.Resident = slices.Sorted(maps.Keys(r.resident))
		s.Adapters = slices.Sorted(slices.Values(r.adapters.names))
		s.Prefixes = slices.Clone(r.prefixes.names)
	}
	return s
}

// slowdown is the factor on the engine's times.
func (r *replica) slowdown() float64 {
	factor := 1 + r.service.BatchSlowdown*float64(max(r.running-1, 0))
	if cold := r.coldness(); cold > 0 {
		factor *= 1 + (r.service.ColdFactor-1)*cold
	}
	return factor
}

// coldness falls from 1 at the start to 0 when the server is warm.
func (r *replica) coldness() float64 {
	age := r.w.now - r.startedAt
	if age >= r.service.WarmUp.D() {
		return 0
	}
	return 1 - float64(age)/float64(r.service.WarmUp.D())
}

// bears reports whether the engine bears its load.
func (r *replica) bears() bool {
	limit := r.service.BearsWarm
	if cold := r.coldness(); cold > 0 {
		limit -= int(cold * float64(r.service.BearsWarm-r.service.BearsCold))
	}
	return r.service.BearsWarm == 0 || r.running <= limit
}

// restart ends every running request and begins a cold life after the time without service.
func (r *replica) restart(down time.Duration) {
	r.incarnation++
	r.downUntil = r.w.now + down
	r.startedAt = r.downUntil
	r.cache.names = nil
	r.adapters.names = nil
	for _, t := range r.startedTasks() {
		t.fail(errkind.BackendFailed)
	}
}

// startedTasks returns the running requests in the order of their start.
func (r *replica) startedTasks() []*task {
	var all []*task
	for _, t := range r.tasks {
		if t.started {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *task) int { return int(a.number - b.number) })
	return all
}

// turnCold restarts the backend server without notice; it serves again at once, and has lost its caches.
func (r *replica) turnCold() { r.restart(0) }

// pollEngine notices a new incarnation.
func (r *replica) pollEngine() {
	if !r.lost && r.w.now >= r.downUntil {
		r.ramp.Incarnation(r.incarnationID())
	}
	if r.w.now < r.w.s.Duration.D()+time.Minute {
		r.w.after(enginePoll, r.pollEngine)
	}
}

// lose ends the host. Gateways notice the broken streams after some polls without an answer.
func (r *replica) lose() {
	if r.lost {
		return
	}
	r.lost = true
	for _, item := range slices.SortedFunc(maps.Keys(r.tasks), func(a, b *admission.Item) int {
		return int(r.tasks[a].number - r.tasks[b].number)
	}) {
		t := r.tasks[item]
		t.ended = true
		kind := errkind.OutcomeUnknown
		r.w.after(lostAfter*r.w.s.Routing.StatusInterval.D(), func() { t.reply(kind) })
		r.forget(t)
	}
	r.running = 0
}

// back starts the host again, cold and with the models that its engine loads at its start.
func (r *replica) back() {
	if !r.lost {
		return
	}
	r.lost = false
	r.restart(0)
	r.ramp.Incarnation(r.incarnationID())
}

// setOut puts the data centre's state into force: what is queued is handed back.
func (r *replica) setOut(out bool) {
	r.out = out
	if !out || r.lost {
		return
	}
	var queued []*task
	for _, t := range r.tasks {
		if !t.started {
			queued = append(queued, t)
		}
	}
	slices.SortFunc(queued, func(a, b *task) int { return int(a.number - b.number) })
	for _, t := range queued {
		r.queue.Remove(t.item)
		t.finish(errkind.DataCentreOut)
	}
}
