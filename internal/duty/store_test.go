package duty_test

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/platform"
)

// simStore is the store as one process reaches it.
type simStore struct {
	fleet   *simFleet
	process *simProcess
}

// call makes a call. execute is done at some time during the call; in a failed one also later, or never.
func (c *simStore) call(execute func()) error {
	s, p := c.fleet, c.process
	if p.dead {
		return errSim
	}
	if s.now < max(s.storeDown, p.cutStore) {
		if s.random.IntN(4) == 0 {
			s.later = append(s.later, simEvent{s.now + time.Duration(s.random.Int64N(int64(1500*time.Millisecond))), execute})
		}
		s.wait(p, time.Duration(s.random.Int64N(int64(duty.CallTimeout))))
		return errSim
	}
	if s.random.IntN(2) == 0 { // the process freezes before the call leaves it
		p.frozenUntil, p.freezeCall = max(p.frozenUntil, s.now+p.freezeCall), 0
		if !s.wait(p, 0) {
			return errSim
		}
	}
	start, done := s.now, false
	delay := time.Duration(0)
	if s.storeSlow > 0 {
		delay = time.Duration(s.random.Int64N(int64(s.storeSlow)))
	}
	if delay < simTick {
		execute()
	} else {
		s.later = append(s.later, simEvent{s.now + delay, func() { execute(); done = true }})
		for !done && s.wait(p, simTick) && s.now-start < duty.CallTimeout {
		}
	}
	p.frozenUntil, p.freezeCall = max(p.frozenUntil, s.now+p.freezeCall), 0
	s.wait(p, 0)
	if p.dead || s.now-start >= duty.CallTimeout || s.random.Float64() < s.loseAnswers {
		return errSim
	}
	return nil
}

// joined returns a version of the store in its present era.
func (s *simFleet) joined(number int64) int64 {
	v, err := rowversion.Join(s.era, number)
	if err != nil {
		panic(err)
	}
	return v
}

func (s *simFleet) joinedRow(r platform.Row) platform.Row {
	r.Version = s.joined(r.Version)
	return r
}

func (c *simStore) Get(_ context.Context, table, key string) (row platform.Row, ok bool, err error) {
	err = c.call(func() {
		row, ok = c.fleet.rows[table+"/"+key]
		row = c.fleet.joinedRow(row)
	})
	c.observe(row.Version, err)
	return row, ok && err == nil, err
}

// observe records the era of an answer.
func (c *simStore) observe(version int64, err error) {
	if err == nil {
		c.process.storeEra = max(c.process.storeEra, rowversion.Era(version))
	}
}

func (c *simStore) List(_ context.Context, table string) (page platform.Page, err error) {
	err = c.call(func() {
		page = platform.Page{Version: c.fleet.joined(c.fleet.version)}
		for k, r := range c.fleet.rows {
			if strings.HasPrefix(k, table+"/") {
				page.Rows = append(page.Rows, c.fleet.joinedRow(r))
			}
		}
	})
	c.observe(page.Version, err)
	return page, err
}

func (c *simStore) Commit(_ context.Context, expected []platform.Precondition, puts []platform.Row) (version int64, rows []platform.Row,
	held bool, err error) {
	s := c.fleet
	if puts[0].Table == "usage" {
		c.process.frozenUntil, c.process.freezeRow = max(c.process.frozenUntil, s.now+c.process.freezeRow), 0
		s.wait(c.process, 0)
	}
	otherEra := func(era int64) bool {
		return slices.ContainsFunc(expected, func(e platform.Precondition) bool { return e.Version != 0 && rowversion.Era(e.Version) != era })
	}
	if otherEra(c.process.storeEra) {
		return 0, nil, false, platform.ErrEraChanged
	}
	err = c.call(func() {
		version, rows, held = s.joined(s.version), nil, true
		for _, e := range expected {
			r, ok := s.rows[e.Table+"/"+e.Key]
			if held = held && r.Version == rowversion.Number(e.Version); ok {
				rows = append(rows, s.joinedRow(r))
			}
		}
		if !held {
			return
		}
		s.version++
		for _, r := range puts {
			r.Version = s.version
			if before, ok := s.rows[r.Table+"/"+r.Key]; ok && r.Table == "usage" && !sameCounts(before, r) {
				s.rewritten++
			}
			s.rows[r.Table+"/"+r.Key] = r
			if window, err := strconv.ParseInt(r.Key, 10, 64); err == nil && s.first == 0 {
				s.first = window
			}
		}
		version, rows = s.joined(s.version), nil
	})
	c.observe(version, err)
	if err == nil && otherEra(rowversion.Era(version)) {
		return 0, nil, false, platform.ErrEraChanged
	}
	return version, rows, held, err
}

// sameCounts reports whether two rows of a usage window have the same counts.
func sameCounts(a, b platform.Row) bool {
	counts := func(r platform.Row) map[string]int64 {
		var value struct {
			Counts map[string]int64 `json:"counts"`
		}
		if err := json.Unmarshal(r.Value, &value); err != nil {
			panic(err)
		}
		return value.Counts
	}
	return maps.Equal(counts(a), counts(b))
}

func (c *simStore) Remove(_ context.Context, table string, keys []string) error {
	return c.call(func() {
		for _, k := range keys {
			delete(c.fleet.rows, table+"/"+k)
		}
	})
}
