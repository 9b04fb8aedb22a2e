package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// lossSlack is the time after the last byte of a request within which a gateway may close the connection without an
	// answer, if it did not pass the request on: the request and the close may cross.
	lossSlack = 200 * time.Millisecond
	// lastGraceShare is the part of the grace period at the end of which a gateway may cut a request at whose server the
	// work has not ended. It holds for requests sent up to acceptTime after SIGTERM.
	lastGraceShare = 6
	acceptTime     = 3 * time.Second
	// maxLossLogLines bounds the log lines that are reported of one loss.
	maxLossLogLines = 6
)

// gatewayTimes are the times at which a gateway was started, told to end, and stopped, killed, paused or resumed, each in order.
type gatewayTimes struct {
	startedAt    []time.Time
	terminatedAt []time.Time
	disturbedAt  []time.Time
}

func (s *system) gatewayHistory() []gatewayTimes {
	var all []gatewayTimes
	for _, g := range s.gateways {
		all = append(all, g.times())
	}
	return all
}

// startedBetween reports whether the gateway was started after a and until b.
func (g gatewayTimes) startedBetween(a, b time.Time) bool {
	return slices.ContainsFunc(g.startedAt, func(t time.Time) bool { return t.After(a) && !t.After(b) })
}

// loss is a whole request that ended without an answer.
type loss struct {
	request *sent
	sentAt  time.Duration // since the start of the load
	endedAt time.Duration
	passed  bool     // a server received it
	during  []string // faults during the request
	log     []string // lines of gateways' logs that name the request
}

// String returns the request, what its caller saw, and the faults during it.
func (l loss) String() string {
	q := l.request
	shape := "kept connection"
	if !q.reused {
		shape = "new connection"
	}
	if q.pieceDelay > 0 {
		shape += ", body in pieces"
	}
	if q.long {
		shape += ", long answer"
	}
	return fmt.Sprintf("request %s (%s, %s) to gateway %d at %.3f s ended at %.3f s without an answer: status %d, passed on %t, error %v; during: %s",
		q.id, q.kind, shape, q.gateway, l.sentAt.Seconds(), l.endedAt.Seconds(), q.answer.status, l.passed, q.answer.err,
		strings.Join(l.during, "; "))
}

// checkLosses checks that every request that was sent whole to a running gateway got a complete answer, and records those
// that did not.
func (r *Result) checkLosses(requests []*sent, records *serverRecords, history []gatewayTimes, logDir string, start time.Time,
	fail func(string, ...any)) {
	for _, q := range requests {
		answered := q.answer.status != 0 && q.answer.complete
		if answered || q.answer.written.IsZero() {
			continue
		}
		l := r.describeLoss(q, records, start)
		switch {
		case !l.passed && !q.answer.begun && q.ended.Sub(q.answer.written) <= lossSlack:
			r.Unread = append(r.Unread, l)
		case q.ended.Sub(q.at) >= routeTimeout, workedUntilGraceEnd(q, records, history[q.gateway]):
			r.Late = append(r.Late, l)
		default:
			l.log = findLogLines(logDir, q.id)
			r.Losses = append(r.Losses, l)
			fail("%s", l)
		}
	}
}

func (r *Result) describeLoss(q *sent, records *serverRecords, start time.Time) loss {
	l := loss{request: q, sentAt: q.at.Sub(start), endedAt: q.ended.Sub(start), passed: len(records.arrivals(q.id)) > 0}
	for _, f := range r.InjectedFaults {
		if f.Start <= l.endedAt && f.Start+f.Duration >= l.sentAt && !slices.Contains(l.during, f.Name) {
			l.during = append(l.during, f.Name)
		}
	}
	return l
}

// workedUntilGraceEnd reports whether a server still worked on the request in the last part of its gateway's grace period.
func workedUntilGraceEnd(q *sent, records *serverRecords, g gatewayTimes) bool {
	for _, t := range g.terminatedAt {
		late, end := t.Add(grace-grace/lastGraceShare), t.Add(grace)
		if q.at.After(t.Add(acceptTime)) {
			continue
		}
		for _, run := range records.runs[q.id] {
			if !time.UnixMilli(run.AtMS).After(end) && time.UnixMilli(run.EndMS).After(late) && !q.ended.Before(late) &&
				!q.ended.After(end.Add(time.Second)) {
				return true
			}
		}
	}
	return false
}

// findLogLines returns the lines of the gateways' logs that hold a request ID.
func findLogLines(dir, id string) []string {
	var lines []string
	files, _ := filepath.Glob(filepath.Join(dir, "gateway-*.log")) // the pattern is valid
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			continue // checkLogs reports it
		}
		scanner := bufio.NewScanner(bytes.NewReader(data))
		scanner.Buffer(nil, len(data)+1)
		for scanner.Scan() {
			if strings.Contains(scanner.Text(), `"`+id+`"`) && len(lines) < maxLossLogLines {
				lines = append(lines, filepath.Base(name)+": "+scanner.Text())
			}
		}
	}
	return lines
}

// lossCounts returns the number of losses by kind of request and fault, as text.
func (r *Result) lossCounts() []string {
	type group struct{ kind, during string }
	counts := make(map[group]int)
	for _, l := range r.Losses {
		faults := l.during
		if len(faults) == 0 {
			faults = []string{"no fault"}
		}
		for _, f := range faults {
			counts[group{l.request.kind, f}]++
		}
	}
	var lines []string
	for g, n := range counts {
		lines = append(lines, fmt.Sprintf("%s during %q: %d", g.kind, g.during, n))
	}
	slices.SortFunc(lines, cmp.Compare[string])
	return lines
}
