package fleetroute

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// usualQuantile is the percentage of the times of a plain service that are not unusual.
	usualQuantile = 95
	// usualSamples is the number of times after which the quantile is computed again from these.
	usualSamples = 100
	// firstUsualSamples is the number of times after which it is first computed: a gateway among many gets few responses
	// of a plain service in a second.
	firstUsualSamples = 20
	// maxUsualMicros bounds the recorded times, in microseconds, and usualDigits is their number of significant digits.
	maxUsualMicros = int64(10 * time.Second / time.Microsecond)
	usualDigits    = 2
)

// usualTime is the usualQuantile of the recent times of a plain service, relative to the speeds of its servers.
type usualTime struct {
	recorded *hdrhistogram.Histogram // since the quantile was computed
	quantile time.Duration           // zero until enough times are known
}

func newUsualTime() *usualTime {
	return &usualTime{recorded: hdrhistogram.New(1, maxUsualMicros, usualDigits)}
}

func (u *usualTime) observe(took time.Duration) {
	// The value is within the bounds, so it is always recorded.
	_ = u.recorded.RecordValue(min(max(took.Microseconds(), 1), maxUsualMicros))
	if n := u.recorded.TotalCount(); n >= usualSamples || u.quantile == 0 && n >= firstUsualSamples {
		u.quantile = time.Duration(u.recorded.ValueAtQuantile(usualQuantile)) * time.Microsecond
		u.recorded.Reset()
	}
}

// observeUsual records the time of a response of a plain service, or of a request that has waited for so long.
func (t *Table) observeUsual(a *Attempt, took time.Duration) {
	u := t.usual[a.service]
	if u == nil {
		u = newUsualTime()
		t.usual[a.service] = u
	}
	u.observe(time.Duration(float64(took) * orOne(a.speed)))
}

// UsualTime returns the time within which 95 of 100 requests to the candidate, a server of a plain service, are
// answered. ok is false while too few responses of the service are known.
func (t *Table) UsualTime(c *Candidate, service string) (usual time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.usual[service]
	if u == nil || u.quantile == 0 {
		return 0, false
	}
	return time.Duration(float64(u.quantile) / orOne(c.Speed)), true
}

// RecordReplaced records that another server's response came first although this attempt began earlier, so that the
// response's time is not known but is longer than until now. Without it, only the shorter times of a slow server would
// be known.
func (a *Attempt) RecordReplaced(now time.Duration) {
	t := a.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.progressed || a.done || a.model != "" {
		return
	}
	took := now - a.started
	t.observeUsual(a, took)
	t.server(a.id).observeSlowness(now, float64(took)/float64(time.Millisecond)/max(a.expectedMS, 1))
}
