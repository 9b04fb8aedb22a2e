package soak

import (
	"net/http"
	"time"
)

const (
	// retryAfterSlack is the time after a rejection with Retry-After within which requests that are on their way may arrive.
	retryAfterSlack = 500 * time.Millisecond
	// maxArrivalsInRetryAfter is the number of requests that may arrive from a gateway in the rest of the stated time.
	maxArrivalsInRetryAfter = 2
)

// requestArrival is a request's arrival at a server.
type requestArrival struct {
	request *sent
	at      time.Time
	status  int // 0 if the server ran it
}

// origin is a gateway and an incarnation of a server that it sends requests to.
type origin struct {
	gateway int
	server  string
}

// arrivalsByOrigin returns all arrivals of requests at servers. Each request names its gateway, since its caller sent it to one.
func arrivalsByOrigin(requests []*sent, records *serverRecords) map[origin][]requestArrival {
	all := make(map[origin][]requestArrival)
	for _, q := range requests {
		for _, a := range records.arrivals(q.id) {
			from := origin{q.gateway, a.server}
			all[from] = append(all[from], requestArrival{q, time.UnixMilli(a.atMS), a.status})
		}
	}
	return all
}

// checkLeaving checks that no request arrives at a server that was sent to a gateway later than drainTime after that gateway
// had passed on an answer in which the server said that it leaves. A request that a server refuses with status 421 does
// not count, and a restart of the gateway in between excuses one.
func checkLeaving(requests []*sent, records *serverRecords, history []gatewayTimes, fail func(string, ...any)) {
	toldAt := make(map[origin][]time.Time)
	for _, q := range requests {
		if server := leavingServerOf(q, records); server != "" {
			from := origin{q.gateway, server}
			toldAt[from] = append(toldAt[from], q.answer.headAt)
		}
	}
	arrivals := arrivalsByOrigin(requests, records)
	for from, times := range toldAt {
		late := 0
		var example requestArrival
		for _, a := range arrivals[from] {
			if a.status != http.StatusMisdirectedRequest && toldBefore(times, a, history[from.gateway]) {
				late++
				example = a
			}
		}
		if late > 0 {
			fail("%d requests arrived at server %s, sent to gateway %d later than %v after it had passed on that the server leaves; one is %s (%s)",
				late, from.server, from.gateway, drainTime, example.request.id, example.request.kind)
		}
	}
}

// leavingServerOf returns the server that answered the request and said that it leaves, or an empty text. The gateway may
// drop the header of the sign.
func leavingServerOf(q *sent, records *serverRecords) string {
	runs := records.runs[q.id]
	answered := q.leaving || q.succeeded() && len(runs) == 1
	for _, run := range runs {
		if answered && run.Leaving {
			return run.Server
		}
	}
	return ""
}

// toldBefore reports whether the gateway that sent a knew at one of the given times, early enough and in the same incarnation,
// that the server leaves.
func toldBefore(times []time.Time, a requestArrival, g gatewayTimes) bool {
	for _, told := range times {
		if a.request.at.Sub(told) > drainTime && !g.startedBetween(told, a.at) {
			return true
		}
	}
	return false
}

// checkRetryAfter checks that almost no requests arrive from a gateway in the time for which a server told that gateway to send
// none. A restart of the gateway in between excuses one.
func checkRetryAfter(requests []*sent, records *serverRecords, history []gatewayTimes, fail func(string, ...any)) {
	arrivals := arrivalsByOrigin(requests, records)
	worst := make(map[origin]int)
	for _, q := range requests {
		for _, rejection := range records.rejections[q.id] {
			from := origin{q.gateway, rejection.Server}
			at := time.UnixMilli(rejection.AtMS)
			first, last := at.Add(retryAfterSlack), at.Add(time.Duration(rejection.RetryAfterMS)*time.Millisecond)
			n := 0
			for _, a := range arrivals[from] {
				if a.at.After(first) && a.at.Before(last) && !history[q.gateway].startedBetween(at, a.at) {
					n++
				}
			}
			worst[from] = max(worst[from], n)
		}
	}
	for from, n := range worst {
		if n > maxArrivalsInRetryAfter {
			fail("%d requests arrived at server %s from gateway %d between %v after a rejection with Retry-After and the end of that time, at most %d are allowed",
				n, from.server, from.gateway, retryAfterSlack, maxArrivalsInRetryAfter)
		}
	}
}
