package soak

import (
	"bufio"
	"encoding/json"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

const (
	// maxCopyAge bounds the age of the copy from which the store is restored, and maxAway the time for which it is away before.
	maxCopyAge = 8 * time.Second
	maxAway    = time.Second
	// ordersTime is long enough for an agent that has just started to send orders.
	ordersTime = 2 * time.Second
)

// besideRestores are the faults of PlanStoreRestores. Restores are drawn more often than each of the others.
var besideRestores = []fault{
	{"store was restored from a copy", restoreStore},
	{"store was restored from a copy", restoreStore},
	{"store was restored from a copy twice", restoreStoreTwice},
	{"gateway killed", func(s *system, rng *rand.Rand) error { return restart(pick(s.gateways, rng), syscall.SIGKILL, rng) }},
	{"gateway stopped", func(s *system, rng *rand.Rand) error { return restart(pick(s.gateways, rng), syscall.SIGTERM, rng) }},
	{"gateway paused", func(s *system, rng *rand.Rand) error { return pause(pick(s.gateways, rng), rng) }},
	{"agent killed", func(s *system, rng *rand.Rand) error { return restart(pick(s.agents, rng), syscall.SIGKILL, rng) }},
	{"agent stopped", func(s *system, rng *rand.Rand) error { return restart(pick(s.agents, rng), syscall.SIGTERM, rng) }},
	{"SIGHUP sent in series", sendHangups},
	{"configuration changed in series", func(s *system, rng *rand.Rand) error {
		return s.writeConfigs(rng, func() error { return s.configOperator.writeConfig() })
	}},
	{"keys withdrawn in series", func(s *system, rng *rand.Rand) error {
		return s.writeConfigs(rng, func() error { return s.configOperator.withdrawKey(rng.IntN(spareKeys)) })
	}},
	{"data centre taken out and restored", takeDataCentreOut},
	{"server leaving", replaceServer},
	{"answers of the store lost", func(s *system, rng *rand.Rand) error {
		if err := s.sendControl(s.storeAddress(), "/control/faults", fake.StoreFaults{Lose: 0.5}); err != nil {
			return err
		}
		time.Sleep(faultDuration(rng))
		return s.sendControl(s.storeAddress(), "/control/faults", fake.StoreFaults{})
	}},
}

// restoreStore restores the store from a copy. In half of the cases it is away for no time, and in half of them so many rows were
// written since the copy was taken that the versions do not reach those of before for a long time.
func restoreStore(s *system, rng *rand.Rand) error {
	if err := s.sendControl(s.storeAddress(), "/control/copy", nil); err != nil {
		return err
	}
	age := time.Duration(rng.Int64N(int64(maxCopyAge)))
	time.Sleep(age / 2)
	if rng.IntN(2) == 0 {
		if err := s.raiseVersion(300 + rng.IntN(700)); err != nil {
			return err
		}
	}
	time.Sleep(age / 2)
	return s.restoreNow(rng)
}

// raiseVersion makes the given number of writes to the store.
func (s *system) raiseVersion(writes int) error {
	row := map[string]any{"puts": []map[string]any{{"table": "status", "key": "writes", "value": []byte("{}")}}}
	for range writes {
		if err := s.sendControl(s.storeAddress(), "/control/rows", row); err != nil {
			return err
		}
	}
	return nil
}

// changeAfterRestore restores the store from a copy after many writes, and then writes a configuration that withdraws a key, and
// restarts an agent that started after the copy was taken. The versions do not reach those of before until the end of the run.
func (s *system) changeAfterRestore(rng *rand.Rand) error {
	if err := s.sendControl(s.storeAddress(), "/control/copy", nil); err != nil {
		return err
	}
	if err := s.raiseVersion(1500); err != nil {
		return err
	}
	if err := s.configOperator.writeConfig(); err != nil {
		return err
	}
	agent := pick(s.agents, rng)
	if err := restart(agent, syscall.SIGTERM, rng); err != nil {
		return err
	}
	time.Sleep(ordersTime)
	if err := s.restoreNow(rng); err != nil {
		return err
	}
	if err := s.configOperator.withdrawKey(rng.IntN(spareKeys)); err != nil {
		return err
	}
	return restart(agent, syscall.SIGTERM, rng)
}

// restoreStoreTwice restores the store from a copy, and from the same one again shortly after.
func restoreStoreTwice(s *system, rng *rand.Rand) error {
	if err := restoreStore(s, rng); err != nil {
		return err
	}
	time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	return s.restoreNow(rng)
}

func (s *system) restoreNow(rng *rand.Rand) error {
	how := fake.Restore{RewriteAfter: time.Duration(rng.IntN(300)) * time.Millisecond}
	if rng.IntN(2) == 0 {
		how.Away = time.Duration(rng.Int64N(int64(maxAway)))
	}
	return s.sendControl(s.storeAddress(), "/control/restore", how)
}

// checkFencingNumbers checks that the fencing number of each agent rises with each start, also if the agent sends no order under it.
func (s *system) checkFencingNumbers(fail func(string, ...any)) {
	for _, agent := range s.agents {
		highest := int64(0)
		for i := 1; i <= agent.incarnation(); i++ {
			for _, number := range fencingNumbers(agent.logFile(i), fail) {
				if number <= highest {
					fail("%s: fencing number %d after %d", agent.name, number, highest)
				}
				highest = max(highest, number)
			}
		}
	}
}

// fencingNumbers returns the fencing numbers that an agent acquired, from its log.
func fencingNumbers(path string, fail func(string, ...any)) []int64 {
	file, err := os.Open(path)
	if err != nil {
		fail("log: %v", err)
		return nil
	}
	defer func() { _ = file.Close() }()
	var numbers []int64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var line struct {
			Msg   string `json:"msg"`
			Fence int64  `json:"fence"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "fencing number acquired" {
			numbers = append(numbers, line.Fence)
		}
	}
	return numbers
}
