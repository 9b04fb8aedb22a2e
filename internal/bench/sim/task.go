package sim

import (
	"time"

	"github.com/pomelowheel/pomelowheel/internal/admission"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/route"
)

const (
	// tokensPerEvent is the number of tokens that one event of a stream stands for.
	tokensPerEvent = 4
	// admissionOffSlack is added to the deadline that admission sees when early refusals are switched off.
	admissionOffSlack = 24 * time.Hour
	// claimWriteTime is the time to write a claim row.
	claimWriteTime = 5 * time.Millisecond
)

// task is one attempt of a request at a sidecar.
type task struct {
	r            *replica
	req          *request
	item         *admission.Item
	reply        func(errkind.Kind)
	number       uint64
	id           string
	started      bool
	sentToEngine bool
	ended        bool
	startedAt    time.Duration
	sentAt       time.Duration
	tokens       int64 // generated in this attempt
	callerDelay  time.Duration
}

func (r *replica) newTask(req *request) *task {
	deadline := req.deadline
	if r.w.s.Policies.Admission == "off" {
		deadline += admissionOffSlack
	}
	return &task{r: r, req: req, number: r.w.added, item: &admission.Item{
		Organisation: req.org.Name, Weight: req.org.Weight, Batch: req.profile.Class == "batch",
		Priority: req.profile.Priority, Deadline: epoch.Add(deadline), Tokens: req.reservedTokens(),
		StartBy: admission.StartBy(epoch.Add(req.arrived), req.profile.FirstToken.D()),
	}}
}

// check runs the sidecar's admission checks in their order.
func (r *replica) check(t *task) (wait time.Duration, kind errkind.Kind) {
	req := t.req
	if r.out {
		return 0, errkind.DataCentreOut
	}
	if req.model != nil && !r.resident[baseModel(req)] {
		return 0, errkind.ModelNotResident
	}
	wait, err := r.queue.Check(r.w.time(), t.item, r.ramp.Limit())
	if err != nil {
		return wait, errkind.Of(err)
	}
	if req.model != nil && t.kvMB() > r.ledger.Total()-r.ledger.ModelsMB() {
		return wait, errkind.MemoryFull
	}
	return wait, errkind.None
}

// baseModel returns the model whose weights must be resident to serve the request.
func baseModel(req *request) string {
	if req.model.Adapter() {
		return req.model.Base
	}
	return req.model.Name
}

// kvMB returns the memory reserved for the key-value cache of the request, in MB, rounded up.
func (t *task) kvMB() int64 {
	return (max(t.req.profile.KVTokens, t.req.reservedTokens())*t.req.model.KVTokenKB + 1023) / 1024
}

// probe returns this replica's probe figure for a request; the lowest one wins.
func (r *replica) probe(req *request) float64 {
	wait, kind := r.check(r.newTask(req))
	resident := req.model == nil || r.resident[baseModel(req)]
	return route.ProbeCost(kind == errkind.None, wait.Milliseconds(), resident, req.prefix != "" && r.prefixes.has(req.prefix))
}

// submit admits a request. It calls reply once, when the last frame is sent.
func (r *replica) submit(d *dispatch, reply func(errkind.Kind)) {
	t := r.newTask(d.r)
	t.reply = reply
	t.id = d.r.id + "/" + r.address
	t.callerDelay = r.w.delay(d.g.dataCentre, r.dataCentre) + r.w.s.ClientDelay.D()
	if _, kind := r.check(t); kind != errkind.None {
		reply(kind)
		return
	}
	if _, err := r.queue.Offer(r.w.time(), t.item, r.ramp.Limit()); err != nil {
		reply(errkind.Of(err))
		return
	}
	r.tasks[t.item] = t
	r.w.at(d.r.deadline, t.timeout)
	r.dispatch()
}

// timeout ends a task at its deadline.
func (t *task) timeout() {
	switch {
	case t.ended:
	case !t.started:
		t.r.queue.Remove(t.item)
		t.finish(errkind.DeadlineUnreachable)
	case !t.sentToEngine:
		t.finish(errkind.DeadlineUnreachable)
	default:
		t.finish(errkind.DeadlineExceeded)
	}
}

// dispatch starts the queued tasks that concurrency and memory allow.
func (r *replica) dispatch() {
	r.queue.MarkLate(r.w.time())
	for {
		var blocked *admission.Item
		item := r.queue.Next(r.ramp.Limit(), func(due *admission.Item) bool {
			t := r.tasks[due]
			if t.req.model == nil || r.ledger.StartRun(t.id, t.kvMB()) == nil {
				return true
			}
			blocked = due
			return false
		})
		if item == nil {
			if blocked != nil && r.queue.Running() == 0 {
				r.queue.Remove(blocked)
				r.tasks[blocked].finish(errkind.MemoryFull)
				continue
			}
			return
		}
		r.tasks[item].begin()
	}
}

// begin passes a started task on to the backend server, after loading its adapter or writing its claim row.
func (t *task) begin() {
	t.started, t.startedAt = true, t.r.w.now
	r := t.r
	switch {
	case t.req.model == nil && t.req.traffic.Booking:
		if r.w.tableAway {
			r.w.after(0, func() { t.finish(errkind.StoreUnavailable) })
			return
		}
		r.w.after(claimWriteTime, t.sendToEngine)
	case t.req.model != nil && t.req.model.Adapter():
		if r.adapters.has(t.req.model.Name) {
			r.adapters.use(t.req.model.Name)
			r.w.after(0, t.sendToEngine)
			return
		}
		t.loadAdapter()
	default:
		r.w.after(0, t.sendToEngine)
	}
}

func (t *task) loadAdapter() {
	r := t.r
	store := r.w.s.WeightStore
	r.adapterLoads++
	factor := max(1, float64(r.adapterLoads)/float64(store.AdapterSlots))
	r.w.after(time.Duration(float64(store.AdapterTime)*factor), func() {
		r.adapterLoads--
		r.w.out.AdapterLoads++
		before := r.adapters.evicted
		r.adapters.use(t.req.model.Name)
		r.w.out.AdapterEvictions += r.adapters.evicted - before
		t.sendToEngine()
	})
}

// sendToEngine sends the request to the backend server.
func (t *task) sendToEngine() {
	r := t.r
	if t.ended {
		return
	}
	if r.w.now < r.downUntil {
		r.ramp.RecordFailure()
		t.finish(errkind.BackendUnreachable)
		return
	}
	t.sentToEngine, t.sentAt = true, r.w.now
	r.running++
	if !r.withinCapacity() {
		r.w.out.FellOver++
		r.restart(r.service.DownTime.D())
		return
	}
	if t.req.model == nil {
		r.w.after(time.Duration(float64(r.service.ServiceTime)*r.slowdown()), func() { t.complete() })
		return
	}
	prompt := float64(t.req.prompt+t.req.tokens) * float64(r.service.PromptToken)
	if t.req.prefix != "" && r.cache.has(t.req.prefix) {
		prompt *= 1 - r.service.CacheSaving
		r.w.out.PrefixHits++
	}
	r.cache.use(t.req.prefix)
	r.w.after(time.Duration((float64(r.service.FirstToken)+prompt)*r.slowdown()), func() { t.emitTokens(1) })
}

// emitTokens passes n tokens on to the caller and schedules the next ones.
func (t *task) emitTokens(n int64) {
	if t.ended {
		return
	}
	r, req := t.r, t.req
	req.started = true
	now := r.w.time()
	if t.tokens == 0 {
		r.ramp.RecordFirstTokenLatency(now, r.w.now-t.sentAt, req.profile.FirstToken.D())
	} else {
		r.ramp.RecordSuccess(now)
	}
	t.tokens += n
	req.tokens += n
	req.lastAt = r.w.now + t.callerDelay
	if req.firstAt == 0 {
		req.firstAt = req.lastAt
	}
	r.ledger.RunProducedOutput(t.id)
	r.dispatch()
	remaining := req.output - req.tokens
	if remaining <= 0 {
		t.complete()
		return
	}
	n = min(remaining, tokensPerEvent)
	between := time.Duration(float64(r.service.BetweenTokens) * r.slowdown())
	r.w.after(between*time.Duration(n), func() { t.emitTokens(n) })
}

// complete ends a task whose answer is complete.
func (t *task) complete() {
	if t.ended {
		return
	}
	r, req := t.r, t.req
	if req.model == nil {
		req.started = true
		req.firstAt = r.w.now + t.callerDelay
		r.ramp.RecordFirstTokenLatency(r.w.time(), r.w.now-t.sentAt, req.profile.FirstToken.D())
	} else {
		r.prefixes.use(req.prefix)
		r.tokens[req.model.Name] += t.tokens
	}
	t.finish(errkind.None)
}

// fail ends a task whose backend server failed. A request that was sent counts as run even if no part of its
// answer was seen.
func (t *task) fail(kind errkind.Kind) {
	t.r.ramp.RecordFailure()
	if t.sentToEngine {
		t.req.started = true
	} else {
		kind = errkind.BackendUnreachable
	}
	t.finish(kind)
}

// finish frees what the task holds, sends the last frame and starts the next task.
func (t *task) finish(kind errkind.Kind) {
	if t.ended {
		return
	}
	t.ended = true
	r := t.r
	if t.sentToEngine {
		r.running--
	}
	serviceTime := time.Duration(0)
	if kind == errkind.None {
		serviceTime = r.w.now - t.startedAt
	}
	if t.started {
		used := t.tokens + t.req.prompt
		if t.req.model == nil {
			used = t.item.Tokens
		}
		r.queue.Done(t.item, used, serviceTime)
		r.ledger.EndRun(t.id, true)
	}
	delete(r.tasks, t.item)
	t.reply(kind)
	r.dispatch()
}

// dropTask removes a task of a lost host without a reply.
func (r *replica) dropTask(t *task) {
	if t.started {
		r.queue.Done(t.item, t.item.Tokens, 0)
		r.ledger.EndRun(t.id, true)
	} else {
		r.queue.Remove(t.item)
	}
	delete(r.tasks, t.item)
}
