package main

import "time"

const (
	copyAge  = 10 * time.Second // of the copy from which the store comes back
	awayTime = time.Second      // for which the store is away before
)

// drill takes the store away and brings it back from a copy that is copyAge old. What the operator and the replicas wrote is written
// again, as LETTER-12.md says: the newest manifest and each replica's entry.
func (s *system) drill(earlier contents, newestManifest []byte) {
	s.record.add("drill: the store is away")
	s.store.setAway()
	time.Sleep(awayTime)
	s.store.restore(earlier)
	v := s.store.put("op", "config", newestManifest)
	s.record.add("operator: newest manifest written again, store version %d", v)
	for _, r := range s.replicas {
		r.writeEntry()
	}
}
