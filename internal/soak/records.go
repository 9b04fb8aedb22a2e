package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// serverRecords are what all servers recorded, by request ID.
type serverRecords struct {
	runs       map[string][]fake.Run
	rejections map[string][]fake.Rejection
	crashes    []string
	ended      map[string]bool // servers that ended without being told to by a signal
}

// arrival is a request that a server received.
type arrival struct {
	id     string
	server string // ID of the server's incarnation
	atMS   int64
	status int // 0 if the server ran it
}

// arrivals returns the arrivals of a request at all servers.
func (r *serverRecords) arrivals(id string) []arrival {
	var list []arrival
	for _, run := range r.runs[id] {
		list = append(list, arrival{id, run.Server, run.AtMS, 0})
	}
	for _, rejection := range r.rejections[id] {
		list = append(list, arrival{id, rejection.Server, rejection.AtMS, rejection.Status})
	}
	return list
}

// records reads the records of all servers. Processes that have ended left theirs in a file.
func (s *system) records(fail func(string, ...any)) *serverRecords {
	all := &serverRecords{runs: make(map[string][]fake.Run), rejections: make(map[string][]fake.Rejection),
		ended: make(map[string]bool)}
	for i, p := range s.servers {
		last := p.incarnation()
		for start := 1; start <= last; start++ {
			data, err := s.readRecords(i, start, last)
			var records fake.Records
			if err == nil {
				err = json.Unmarshal(data, &records)
			}
			if err != nil {
				fail("could not read the records of start %d of server %d: %v", start, i, err)
				continue
			}
			all.add(records, i)
		}
	}
	return all
}

func (s *system) readRecords(server, start, last int) ([]byte, error) {
	if start < last {
		return os.ReadFile(s.recordsFile(server, start))
	}
	resp, err := s.client.Get("http://" + s.serverAddress(server) + "/control/runs")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

func (r *serverRecords) add(records fake.Records, server int) {
	if records.Crashed != "" {
		r.crashes = append(r.crashes, fmt.Sprintf("server %d: %s", server, records.Crashed))
	}
	if records.Ended != "" {
		r.ended[records.Ended] = true
	}
	for _, run := range records.Runs {
		r.runs[run.ID] = append(r.runs[run.ID], run)
	}
	for _, rejection := range records.Rejections {
		r.rejections[rejection.ID] = append(r.rejections[rejection.ID], rejection)
	}
}
