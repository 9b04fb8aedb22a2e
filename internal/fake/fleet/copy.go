package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// operatorTable is the store's table that only the operator writes.
const operatorTable = "op"

// Copy is what the store contained at one moment.
type Copy struct {
	rows         map[rowKey]row
	history      []row
	historyStart int64
	version      int64
}

// Restore says how the store is restored from a copy.
type Restore struct {
	Away time.Duration `json:"away"` // for which the store refuses calls before
	// RewriteAfter is the time from the restore until the operator's rows are written again. If it is negative, they are not.
	RewriteAfter time.Duration `json:"rewrite_after"`
}

// WithoutEra makes the store send no era, as older ones do. It must be called before the first call to the store.
func (s *Store) WithoutEra() *Store {
	s.era = 0
	return s
}

// Era returns the era of the store.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// TakeCopy returns a copy of the store and keeps it for a restore through the control interface.
func (s *Store) TakeCopy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = Copy{maps.Clone(s.rows), slices.Clone(s.history), s.historyStart, s.version}
	return s.taken
}

// RestoreFrom restores the store from a copy: what was written since the copy was taken is lost, versions are given out again, and
// the era rises. It blocks until the operator's rows, as they were before, are written again. The backend servers write theirs.
func (s *Store) RestoreFrom(c Copy, how Restore) {
	s.mu.Lock()
	s.away = how.Away > 0
	s.notifyFeeds()
	s.mu.Unlock()
	time.Sleep(how.Away)

	s.mu.Lock()
	operator := make(map[rowKey]row)
	for k, r := range s.rows {
		if k.table == operatorTable {
			operator[k] = r
		}
	}
	s.rows, s.history, s.historyStart, s.version = maps.Clone(c.rows), slices.Clone(c.history), c.historyStart, c.version
	s.away = false
	if s.era > 0 {
		s.era++
	}
	s.notifyFeeds()
	s.mu.Unlock()
	if how.RewriteAfter < 0 {
		return
	}
	time.Sleep(how.RewriteAfter)
	s.rewrite(operator, c)
}

// rewrite writes the operator's rows again, unless a row has been written since the restore.
func (s *Store) rewrite(operator map[rowKey]row, c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range operator {
		if s.rows[k].Version <= c.version {
			s.version++
			r.Version = s.version
			s.put(r)
		}
	}
	for k := range c.rows {
		if _, kept := operator[k]; k.table == operatorTable && !kept && s.rows[k].Version != 0 && s.rows[k].Version <= c.version {
			s.version++
			s.put(row{Table: k.table, Part: k.part, Key: k.key, Version: s.version, Deleted: true})
		}
	}
	s.notifyFeeds()
}

func (s *Store) controlRestore(w http.ResponseWriter, r *http.Request) {
	var how Restore
	if err := json.NewDecoder(r.Body).Decode(&how); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	taken := s.taken
	s.mu.Unlock()
	if taken.rows == nil {
		http.Error(w, fmt.Sprintf("no copy was taken in era %d", s.Era()), http.StatusConflict)
		return
	}
	s.RestoreFrom(taken, how)
}
