package fleetroute

import (
	"math"
	"slices"
	"time"
)

const (
	// serverPaceWeight and referencePaceWeight are the smallest weights of a new sample in the averages of one
	// server's pace and of all servers' times. They make the estimates follow changes in about 30 and 200 samples.
	serverPaceWeight, referencePaceWeight = 0.03, 0.005
	// maxPaceDeviation bounds the difference of a sample from the average, as a logarithm, so that passing slowness
	// does not count as a property of the server.
	maxPaceDeviation = 0.5
	// minReferenceSamples is the number of samples of all servers from which their average is used.
	minReferenceSamples = 30
	// minPaceSamples is the number of samples of one server from which its speed may differ from 1.
	minPaceSamples = 5
	// streamSpeedBand and plainSpeedBand are the relative differences, as logarithms, up to which servers count as
	// alike. The times of plain requests vary more than the pauses between the events of a stream.
	streamSpeedBand, plainSpeedBand = 0.12, 0.35
	// paceNoise is the standard deviation of a sample; divided by the number of samples it is added to the band.
	paceNoise = 1.0
	// maxSpeedLog bounds a learned speed, as a logarithm.
	maxSpeedLog = 1.1
	// medianInterval is the time between two computations of a reference's median.
	medianInterval = 2 * time.Second
	// A sample is the shortest of spansPerSample spans of spanPauses pauses between events: prompts that are processed
	// between the events only lengthen them. With spans of one pause, events that arrive together would look like a
	// fast server.
	spanPauses, spansPerSample = 2, 3
)

// estimate is a slowly changing average of logarithms.
type estimate struct {
	value   float64
	samples int
}

func (e *estimate) observe(sample, weight float64) {
	e.samples++
	if e.samples == 1 {
		e.value = sample
		return
	}
	weight = max(weight, 1/float64(e.samples))
	e.value += weight * min(max(sample-e.value, -maxPaceDeviation), maxPaceDeviation)
}

// reference is what the paces of the servers of one model or plain service are measured against.
type reference struct {
	estimate                // of the logarithms of the times of all servers
	median    float64       // of the servers' paces, which is the pace of speed 1
	updatedAt time.Duration // when median was last computed
}

// pauses measures the pauses between the events of one stream.
type pauses struct {
	spanStart time.Duration // when the first event of the span came
	events    int           // events in the span, apart from the first
	spans     int
	shortest  time.Duration // of the spans
}

// observe records an event, and returns a sample if it completes one. A span that is not whole starts again with the
// event if contended is set.
func (p *pauses) observe(now time.Duration, contended bool) (sample time.Duration, ok bool) {
	if contended {
		p.spanStart, p.events = now, 0
		return 0, false
	}
	if p.events++; p.events < spanPauses {
		return 0, false
	}
	span := now - p.spanStart
	if p.spans == 0 || span < p.shortest {
		p.shortest = span
	}
	p.spanStart, p.events = now, 0
	if p.spans++; p.spans < spansPerSample {
		return 0, false
	}
	p.spans = 0
	return p.shortest, true
}

// observePause records an event of a stream. Pauses count while no prompts wait at the server. Their times are
// converted to those of a batch of one request.
func (t *Table) observePause(s *server, a *Attempt, now time.Duration) {
	contended := s.load.Prefill+s.peers.load.Prefill > 0
	if span, ok := a.pauses.observe(now, contended || !a.progressed); ok {
		inFlight := s.load.InFlight + s.peers.load.InFlight
		ms := float64(span) / float64(time.Millisecond)
		t.observePace(s, a.model, ms/(1+decodeSlowdown*float64(inFlight)), now)
	}
}

// observePace adds a time in milliseconds to the average of a model or plain service and, in relation to that, to
// the averages of a server, and sets the server's speed.
func (t *Table) observePace(s *server, name string, tookMS float64, now time.Duration) {
	if tookMS <= 0 {
		return
	}
	r := t.paces[name]
	if r == nil {
		r = &reference{}
		t.paces[name] = r
	}
	sample := math.Log(tookMS)
	r.observe(sample, referencePaceWeight)
	if r.samples < minReferenceSamples {
		return
	}
	s.reference = r
	s.ownPace.observe(sample-r.value, serverPaceWeight)
	s.pace.observe(sample-r.value, serverPaceWeight)
	if now-r.updatedAt >= medianInterval {
		t.updateMedian(r, now)
	}
	s.updateSpeed()
}

// updateMedian computes the median pace of the servers that were measured against r. A mean of the times would depend
// on how the requests are distributed.
func (t *Table) updateMedian(r *reference, now time.Duration) {
	r.updatedAt = now
	var paces []float64
	for _, s := range t.servers {
		if s.reference == r && s.pace.samples >= minPaceSamples {
			paces = append(paces, s.pace.value)
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		r.median = paces[len(paces)/2]
	}
}

// observePeerPace adds the average that a peer measured at a server, relative to the median.
func (s *server) observePeerPace(pace float64) {
	s.pace.observe(s.median()+min(max(math.Log(pace), -maxSpeedLog), maxSpeedLog), serverPaceWeight)
	s.updateSpeed()
}

func (s *server) median() float64 {
	if s.reference == nil {
		return 0
	}
	return s.reference.median
}

// updateSpeed sets the speed from the measured pace. It is 1 unless the difference exceeds the band and the noise.
func (s *server) updateSpeed() {
	s.speed = 1
	difference := s.pace.value - s.median()
	if n := s.pace.samples; n >= minPaceSamples && math.Abs(difference) > s.band+paceNoise/float64(n) {
		s.speed = math.Exp(min(max(-difference, -maxSpeedLog), maxSpeedLog))
	}
}

// Speeds returns the learned speeds by server, without those that are 1.
func (t *Table) Speeds() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	speeds := make(map[string]float64)
	for id, s := range t.servers {
		if s.speed != 1 {
			speeds[id] = s.speed
		}
	}
	return speeds
}

func orOne(v float64) float64 { return orDefault(v, 1) }
