package sim

import (
	"time"

	"github.com/pomelowheel/pomelowheel/internal/admission"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/route"
)

const (
	// stepTokens is the number of tokens in one event of a stream.
	stepTokens = 4
	// admitAnyway is added to the deadline that admission sees if early refusals are switched off.
	admitAnyway = 24 * time.Hour
	// claimTime is that of writing a claim row.
	claimTime = 5 * time.Millisecond
)

// task is one attempt at a sidecar.
type task struct {
	r         *replica
	req       *request
	item      *admission.Item
	reply     func(errkind.Kind)
	number    uint64
	id        string
	started   bool
	handed    bool // to the engine
	ended     bool
	startedAt time.Duration
	handedAt  time.Duration
	tokens    int64 // of this attempt
	toCaller  time.Duration
}

func (r *replica) newTask(req *request) *task {
	deadline := req.deadline
	if r.w.s.Policies.Admission == "off" {
		deadline += admitAnyway
	}
	return &task{r: r, req: req, number: r.w.added, item: &admission.Item{
		Organisation: req.org.Name, Weight: req.org.Weight, Batch: req.profile.Class == "batch",
		Priority: req.profile.Priority, Deadline: epoch.Add(deadline), Tokens: req.reserved(),
		StartBy: admission.StartBy(epoch.Add(req.arrived), req.profile.FirstToken.D()),
	}}
}

// check makes the sidecar's checks in their order.
func (r *replica) check(t *task) (wait time.Duration, kind errkind.Kind) {
	req := t.req
	if r.out {
		return 0, errkind.DataCentreOut
	}
	if req.model != nil && !r.resident[base(req)] {
		return 0, errkind.ModelNotResident
	}
	wait, err := r.queue.Check(r.w.time(), t.item, r.ramp.Limit())
	if err != nil {
		return wait, errkind.Of(err)
	}
	if req.model != nil && t.kvMB() > r.ledger.Total()-r.ledger.Fixed() {
		return wait, errkind.MemoryFull
	}
	return wait, errkind.None
}

func base(req *request) string {
	if req.model.Adapter() {
		return req.model.Base
	}
	return req.model.Name
}

func (t *task) kvMB() int64 {
	return (max(t.req.profile.KVTokens, t.req.reserved())*t.req.model.KVTokenKB + 1023) / 1024
}

// probe returns the figure of this candidate for a request.
func (r *replica) probe(req *request) float64 {
	wait, kind := r.check(r.newTask(req))
	resident := req.model == nil || r.resident[base(req)]
	return route.ProbeFigure(kind == errkind.None, wait.Milliseconds(), resident, req.prefix != "" && r.prefixes.has(req.prefix))
}

// submit admits a request; reply is called once, at the time of the last frame.
func (r *replica) submit(d *dispatch, reply func(errkind.Kind)) {
	t := r.newTask(d.r)
	t.reply = reply
	t.id = d.r.id + "/" + r.address
	t.toCaller = r.w.delay(d.g.centre, r.centre) + r.w.s.ClientDelay.D()
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
	case !t.handed:
		t.finish(errkind.DeadlineUnreachable)
	default:
		t.finish(errkind.DeadlineExceeded)
	}
}

// dispatch starts the requests that may start.
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

// begin hands a started task to the backend server, after its adapter or its claim row.
func (t *task) begin() {
	t.started, t.startedAt = true, t.r.w.now
	r := t.r
	switch {
	case t.req.model == nil && t.req.traffic.Booking:
		if r.w.tableAway {
			r.w.after(0, func() { t.finish(errkind.StoreUnavailable) })
			return
		}
		r.w.after(claimTime, t.hand)
	case t.req.model != nil && t.req.model.Adapter():
		if r.adapters.has(t.req.model.Name) {
			r.adapters.use(t.req.model.Name)
			r.w.after(0, t.hand)
			return
		}
		t.loadAdapter()
	default:
		r.w.after(0, t.hand)
	}
}

func (t *task) loadAdapter() {
	r := t.r
	store := r.w.s.WeightStore
	r.adapterJobs++
	slow := max(1, float64(r.adapterJobs)/float64(store.AdapterSlots))
	r.w.after(time.Duration(float64(store.AdapterTime)*slow), func() {
		r.adapterJobs--
		r.w.out.AdapterLoads++
		before := r.adapters.evicted
		r.adapters.use(t.req.model.Name)
		r.w.out.AdapterEvictions += r.adapters.evicted - before
		t.hand()
	})
}

// hand gives the request to the backend server.
func (t *task) hand() {
	r := t.r
	if t.ended {
		return
	}
	if r.w.now < r.downUntil {
		r.ramp.Bad()
		t.finish(errkind.BackendUnreachable)
		return
	}
	t.handed, t.handedAt = true, r.w.now
	r.running++
	if !r.bears() {
		r.w.out.FellOver++
		r.restart(r.service.DownTime.D())
		return
	}
	if t.req.model == nil {
		r.w.after(time.Duration(float64(r.service.ServiceTime)*r.slowdown()), func() { t.served() })
		return
	}
	prompt := float64(t.req.prompt+t.req.tokens) * float64(r.service.PromptToken)
	if t.req.prefix != "" && r.cache.has(t.req.prefix) {
		prompt *= 1 - r.service.CacheSaving
		r.w.out.PrefixHits++
	}
	r.cache.use(t.req.prefix)
	r.w.after(time.Duration((float64(r.service.FirstToken)+prompt)*r.slowdown()), func() { t.step(1) })
}

// step passes tokens on and schedules the next ones.
func (t *task) step(n int64) {
	if t.ended {
		return
	}
	r, req := t.r, t.req
	req.started = true
	now := r.w.time()
	if t.tokens == 0 {
		r.ramp.FirstAnswer(now, r.w.now-t.handedAt, req.profile.FirstToken.D())
	} else {
		r.ramp.Good(now)
	}
	t.tokens += n
	req.tokens += n
	req.lastAt = r.w.now + t.toCaller
	if req.firstAt == 0 {
		req.firstAt = req.lastAt
	}
	r.ledger.SeenRun(t.id)
	r.dispatch()
	left := req.output - req.tokens
	if left <= 0 {
		t.served()
		return
	}
	n = min(left, stepTokens)
	between := time.Duration(float64(r.service.BetweenTokens) * r.slowdown())
	r.w.after(between*time.Duration(n), func() { t.step(n) })
}

// served ends a whole answer.
func (t *task) served() {
	if t.ended {
		return
	}
	r, req := t.r, t.req
	if req.model == nil {
		req.started = true
		req.firstAt = r.w.now + t.toCaller
		r.ramp.FirstAnswer(r.w.time(), r.w.now-t.handedAt, req.profile.FirstToken.D())
	} else {
		r.prefixes.use(req.prefix)
		r.tokens[req.model.Name] += t.tokens
	}
	t.finish(errkind.None)
}

// fail ends a task whose backend server failed. Without a part of the answer it still counts as run.
func (t *task) fail(kind errkind.Kind) {
	t.r.ramp.Bad()
	if t.handed {
		t.req.started = true
	} else {
		kind = errkind.BackendUnreachable
	}
	t.finish(kind)
}

// finish frees what the task holds, starts the next one and sends the last frame.
func (t *task) finish(kind errkind.Kind) {
	if t.ended {
		return
	}
	t.ended = true
	r := t.r
	if t.handed {
		r.running--
	}
	served := time.Duration(0)
	if kind == errkind.None {
		served = r.w.now - t.startedAt
	}
	if t.started {
		used := t.tokens + t.req.prompt
		if t.req.model == nil {
			used = t.item.Tokens
		}
		r.queue.Done(t.item, used, served)
		r.ledger.EndRun(t.id, true)
	}
	delete(r.tasks, t.item)
	t.reply(kind)
	r.dispatch()
}

// forget drops a task of a lost host.
func (r *replica) forget(t *task) {
	if t.started {
		r.queue.Done(t.item, t.item.Tokens, 0)
		r.ledger.EndRun(t.id, true)
	} else {
		r.queue.Remove(t.item)
	}
	delete(r.tasks, t.item)
}
