package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/admission"
	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/memoryledger"
	"github.com/pomelowheel/pomelowheel/internal/route"
)

// maxPrefixes is the largest number of prefix hashes in a status, as in the sidecar.
const maxPrefixes = 64

// replica is a sidecar with the backend server on its host.
type replica struct {
	w          *world
	service    *scenario.Service
	dataCentre *dataCentre
	address    string

	queue    *admission.Queue
	ramp     *admission.Ramp
	ledger   *memoryledger.Ledger
	tasks    map[*admission.Item]*task
	resident map[string]bool
	adapters lruList
	prefixes lruList          // recently served; reported in the status
	tokens   map[string]int64 // generated, by model
	out      bool             // the data centre is out of service
	lost     bool

	// State of the engine.
	cache        lruList // prompt prefixes
	running      int
	startedAt    time.Duration
	downUntil    time.Duration
	incarnation  int
	adapterLoads int // adapter loads in flight
}

// lruList is a bounded list of names, the most recently used last.
type lruList struct {
	names   []string
	limit   int
	evicted int
}

func (l *lruList) has(name string) bool { return slices.Contains(l.names, name) }

func (l *lruList) use(name string) {
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

// status returns the status that the sidecar reports to gateways.
func (r *replica) status() route.Replica {
	limit := r.ramp.Limit()
	s := route.Replica{
		Address: r.address, DataCentre: r.dataCentre.Name, Service: r.service.Name, Plain: !r.isModel(),
		Running: int64(r.queue.Running()), Queued: int64(r.queue.Queued()), Limit: int64(limit),
		QueueMS: r.queue.Wait(new(admission.Item), limit).Milliseconds(), DataCentreOut: r.out, Ready: r.w.now >= r.downUntil,
	}
	if r.isModel() {
		s.Resident = slices.Sorted(maps.Keys(r.resident))
		s.Adapters = slices.Sorted(slices.Values(r.adapters.names))
		s.Prefixes = slices.Clone(r.prefixes.names)
	}
	return s
}

// slowdown returns the factor by which load and a cold start lengthen the engine's times.
func (r *replica) slowdown() float64 {
	factor := 1 + r.service.BatchSlowdown*float64(max(r.running-1, 0))
	if cold := r.coldness(); cold > 0 {
		factor *= 1 + (r.service.ColdFactor-1)*cold
	}
	return factor
}

// coldness falls linearly from 1 at the start to 0 when the server is warm.
func (r *replica) coldness() float64 {
	age := r.w.now - r.startedAt
	if age >= r.service.WarmUp.D() {
		return 0
	}
	return 1 - float64(age)/float64(r.service.WarmUp.D())
}

// withinCapacity reports whether the engine can take its current load without crashing.
func (r *replica) withinCapacity() bool {
	limit := r.service.WarmCapacity
	if cold := r.coldness(); cold > 0 {
		limit -= int(cold * float64(r.service.WarmCapacity-r.service.ColdCapacity))
	}
	return r.service.WarmCapacity == 0 || r.running <= limit
}

// restart fails every running request and restarts the backend server cold, with empty caches. It is
// unavailable for the time down.
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

// startedTasks returns the running tasks in the order of their creation.
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

// restartCold restarts the backend server without notice. It serves again at once, but its caches are empty.
func (r *replica) restartCold() { r.restart(0) }

// pollEngine reads the engine's incarnation, so that a restart begins a new ramp.
func (r *replica) pollEngine() {
	if !r.lost && r.w.now >= r.downUntil {
		r.ramp.SetIncarnation(r.incarnationID())
	}
	if r.w.now < r.w.s.Duration.D()+time.Minute {
		r.w.after(enginePollInterval, r.pollEngine)
	}
}

// fail stops the host. Gateways notice the broken streams after lostAfterPolls status intervals.
func (r *replica) fail() {
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
		r.w.after(lostAfterPolls*r.w.s.Routing.StatusInterval.D(), func() { t.reply(kind) })
		r.dropTask(t)
	}
	r.running = 0
}

// restartHost starts a lost host again, cold and with the same resident models, which its engine loads at its
// start.
func (r *replica) restartHost() {
	if !r.lost {
		return
	}
	r.lost = false
	r.restart(0)
	r.ramp.SetIncarnation(r.incarnationID())
}

// setOut applies the state of the data centre. When it is taken out of service, queued requests are returned to
// their gateways.
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
