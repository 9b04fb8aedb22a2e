package usage_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/usage"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const length = 5 * time.Second

var start = time.Unix(1_767_225_600, 0) // of a window

func count(window int64, org, source string, n int64) *wirepb.UsageCount {
	return &wirepb.UsageCount{Window: window, Organisation: org, Source: source, Count: n}
}

// Guards against requests counted in another window than that of the published definition.
func TestWindowsStartAtMultiplesOfTheirLength(t *testing.T) {
	for _, c := range []struct {
		at     time.Time
		window int64
	}{
		{time.Unix(0, 0), 0}, {time.Unix(4, 999_999_999), 0}, {time.Unix(5, 0), 1}, {time.Unix(1_767_225_600, 0), 353_445_120},
		{time.Unix(-1, 0), -1},
	} {
		if w := usage.WindowAt(c.at, length); w != c.window {
			t.Errorf("window %d at %v, expected %d", w, c.at, c.window)
		}
		if end := usage.WindowEnd(c.window, length); !c.at.Before(end) || end.Sub(c.at) > length {
			t.Errorf("window %d ends at %v, %v is in it", c.window, end, c.at)
		}
	}
}

// Guards against counts that are added twice or lost when reports are repeated, come late, come by another gateway, or come from
// gateways that have ended.
func TestTotalsDoNotDependOnTheWayOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := usage.WindowAt(start, length)
		holder := usage.NewLedger(length, "holder")
		sources := []string{"a", "a restarted", "b"}
		counts := make(map[string]int64)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			source := rapid.SampledFrom(sources).Draw(t, "source")
			counts[source] += rapid.Int64Range(0, 5).Draw(t, "requests")
			known := counts[source]
			if rapid.Bool().Draw(t, "old") {
				known = rapid.Int64Range(0, known).Draw(t, "known")
			}
			by := rapid.SampledFrom(sources).Draw(t, "by")
			holder.Receive(by, &wirepb.UsageReport{Counts: []*wirepb.UsageCount{count(w, "o", source, known)}}, start)
		}
		var sum int64
		for source, n := range counts {
			sum += n
			holder.Receive("standby", &wirepb.UsageReport{Counts: []*wirepb.UsageCount{count(w, "o", source, n)}}, start)
		}
		holder.Count("o", start)
		if got := holder.Totals(w)["o"]; got != sum+1 {
			t.Fatalf("%d requests, expected %d", got, sum+1)
		}
	})
}

// Guards against a window that is settled before the gateways that counted in it have reported, or never because one has ended.
func TestAWindowIsCompleteWhenItsGatewaysHaveClosedIt(t *testing.T) {
	w := usage.WindowAt(start, length)
	l := usage.NewLedger(length, "holder")
	end := usage.WindowEnd(w, length)
	l.Receive("a", &wirepb.UsageReport{Closed: w - 1, Counts: []*wirepb.UsageCount{count(w, "o", "", 3)}}, start)
	l.Receive("gone", &wirepb.UsageReport{Closed: w - 2}, start)
	if l.Complete(w, end) {
		t.Error("complete at its end, when requests may still be counted here")
	}
	if l.Complete(w, end.Add(time.Second)) {
		t.Error("complete although a gateway that counted has not closed it")
	}
	l.Receive("a", &wirepb.UsageReport{Closed: w}, end)
	if !l.Complete(w, end.Add(time.Second)) {
		t.Error("not complete although the gateways that counted have closed it")
	}
}

// Guards against memory that grows while no window can be settled, and against counts that are lost by bounding it.
func TestCountsOfALongOutageAreBoundedAndKept(t *testing.T) {
	l := usage.NewLedger(length, "holder")
	first := usage.WindowAt(start, length)
	now := start
	for i := range int64(200) {
		now = now.Add(length)
		for source := range 5 {
			l.Receive(string(rune('a'+source)), &wirepb.UsageReport{Counts: []*wirepb.UsageCount{count(first+i, "o", "", 2)}}, now)
		}
		l.Report(now)
	}
	if n := len(l.Report(now).GetCounts()); n > 13*5 {
		t.Errorf("%d counts are kept apart, expected those of the last minute", n)
	}
	for i := range int64(200) {
		if got := l.Totals(first + i); !maps.Equal(got, map[string]int64{"o": 10}) {
			t.Fatalf("window %d has %v", i, got)
		}
	}
	l.Settle(first + 198)
	if oldest, _ := l.Oldest(); oldest != first+199 {
		t.Errorf("window %d is kept", oldest-first)
	}
	l.Receive("a", &wirepb.UsageReport{Counts: []*wirepb.UsageCount{count(first, "o", "", 9)}}, now)
	if len(l.Totals(first)) != 0 || l.Late() != 1 {
		t.Error("a late count of a settled window is kept")
	}
}

// Guards against a report that is built for each peer and each update.
func TestAReportIsReusedForASecond(t *testing.T) {
	l := usage.NewLedger(length, "g")
	l.Count("o", start)
	first := l.Report(start.Add(200 * time.Millisecond))
	l.Count("o", start)
	if l.Report(start.Add(900*time.Millisecond)) != first {
		t.Error("another report within a second")
	}
	if c := l.Report(start.Add(1300 * time.Millisecond)).GetCounts(); len(c) != 1 || c[0].GetCount() != 2 || c[0].GetSource() != "" {
		t.Errorf("counts %v", c)
	}
}

// BenchmarkCount measures what a request costs.
func BenchmarkCount(b *testing.B) {
	l := usage.NewLedger(length, "g")
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			l.Count("org-a", start)
		}
	})
}
