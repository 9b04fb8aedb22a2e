package fleetgateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

const (
	// maxLatencyMicros bounds the latencies that the histograms record, in microseconds.
	maxLatencyMicros = int64(60 * time.Second / time.Microsecond)
	// latencyDigits is the number of significant digits of the histograms.
	latencyDigits = 2
)

// Metrics counts the requests of a gateway. It is safe for concurrent use.
type Metrics struct {
	outcomes *expvar.Map
	cut      *expvar.Map // requests whose caller got an incomplete answer or none, by outcome
	sends    *expvar.Int
	signs    *expvar.Map // signs in servers' responses, by kind

	noRoom    *expvar.Map // requests refused because no room at a server was expected, by reason and rank
	afterWait *expvar.Map // requests sent after a wait for room, by rank

	serversEnded *expvar.Int // servers that ended and broke off a response of this gateway

	mu            sync.Mutex
	firstEvent    map[string]*hdrhistogram.Histogram // by repeat rule of the route
	wholeResponse map[string]*hdrhistogram.Histogram
}

// NewMetrics returns metrics without any request.
func NewMetrics() *Metrics {
	return &Metrics{
		outcomes: new(expvar.Map), cut: new(expvar.Map), sends: new(expvar.Int), signs: new(expvar.Map), serversEnded: new(expvar.Int),
		noRoom: new(expvar.Map), afterWait: new(expvar.Map),
		firstEvent: make(map[string]*hdrhistogram.Histogram), wholeResponse: make(map[string]*hdrhistogram.Histogram),
	}
}

// Vars returns the variables by their published names. Latencies are in milliseconds.
func (m *Metrics) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"requests_by_outcome":  m.outcomes,
		"answers_cut":          m.cut,
		"sends":                m.sends,
		"server_signs":         m.signs,
		"servers_ended":        m.serversEnded,
		"refused_without_room": m.noRoom,
		"sent_after_wait":      m.afterWait,
		"first_event_ms":       expvar.Func(func() any { return m.quantiles(m.firstEvent) }),
		"whole_answer_ms":      expvar.Func(func() any { return m.quantiles(m.wholeResponse) }),
	}
}

func (m *Metrics) record(q *request, kind errkind.Kind) {
	m.outcomes.Add(kind.String(), 1)
	m.sends.Add(int64(len(q.tried)))
	if answer := q.answer(kind); answer == answerCut || answer == answerNone {
		m.cut.Add(kind.String(), 1)
	}
	if kind != errkind.None {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	name := q.route.Repeat.String()
	observe(m.firstEvent, name, q.firstEvent)
	observe(m.wholeResponse, name, time.Since(q.arrived))
}

func observe(h map[string]*hdrhistogram.Histogram, name string, d time.Duration) {
	if h[name] == nil {
		h[name] = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	// The value is within the bounds, so it is always recorded.
	_ = h[name].RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func (m *Metrics) quantiles(h map[string]*hdrhistogram.Histogram) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]quantiles, len(h))
	ms := func(us int64) float64 { return float64(us) / 1000 }
	for name, one := range h {
		all[name] = quantiles{one.TotalCount(), ms(one.ValueAtQuantile(50)), ms(one.ValueAtQuantile(95)),
			ms(one.ValueAtQuantile(99)), ms(one.Max())}
	}
	return all
}
