package wire

import (
	"hash/fnv"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// lists returns the fields of s that change seldom.
func lists(s *wirepb.Status) *wirepb.Status {
	return &wirepb.Status{
		Identity: s.GetIdentity(), Service: s.GetService(), Kind: s.GetKind(), Resident: s.GetResident(),
		Adapters: s.GetAdapters(), MemoryTotalMb: s.GetMemoryTotalMb(), BackendIncarnation: s.GetBackendIncarnation(),
	}
}

// version returns a hash of the message that is never zero. Its values are compared only with those of
// the same process, whose incarnation is part of the lists.
func version(m proto.Message) uint64 {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return 0 // matches no version, so the receiver gets everything
	}
	h := fnv.New64a()
	_, _ = h.Write(encoded)
	return max(h.Sum64(), 1)
}

// SetVersions sets the versions of a whole status that has none.
func SetVersions(s *wirepb.Status) {
	if s.GetListsVersion() == 0 {
		s.ListsVersion = version(lists(s))
	}
	if s.GetPrefixesVersion() == 0 && !s.GetSamePrefixes() {
		s.PrefixesVersion = version(&wirepb.Status{Identity: s.GetIdentity(), Prefixes: s.GetPrefixes()})
	}
}

// TrimStatus sets the versions of s and removes what the sender of r holds or does not want. It changes s.
func TrimStatus(s *wirepb.Status, r *wirepb.StatusRequest) *wirepb.Status {
	SetVersions(s)
	if s.GetListsVersion() != 0 && s.GetListsVersion() == r.GetKnownLists() {
		s.SameLists, s.ListsVersion = true, 0
		s.Identity, s.Service, s.Kind, s.Resident, s.Adapters = nil, "", "", nil, nil
		s.MemoryTotalMb, s.BackendIncarnation = 0, ""
	}
	same := s.GetPrefixesVersion() != 0 && s.GetPrefixesVersion() == r.GetKnownPrefixes()
	if same || r.GetOmitPrefixes() {
		s.SamePrefixes, s.Prefixes, s.PrefixesVersion = true, nil, 0
	}
	if r.GetOmitLoads() {
		s.SameLoads, s.ModelLoads = true, nil
	}
	return s
}

// CompleteStatus fills what TrimStatus removed from s with the last known status. It changes s and returns
// false if lists are missing and known is nil.
func CompleteStatus(s, known *wirepb.Status) bool {
	if s.GetSameLists() {
		if known == nil {
			return false
		}
		s.Identity, s.Service, s.Kind = known.GetIdentity(), known.GetService(), known.GetKind()
		s.Resident, s.Adapters = known.GetResident(), known.GetAdapters()
		s.MemoryTotalMb, s.BackendIncarnation = known.GetMemoryTotalMb(), known.GetBackendIncarnation()
		s.ListsVersion = known.GetListsVersion()
	}
	sameProcess := s.GetIdentity().GetIncarnation() == known.GetIdentity().GetIncarnation()
	if s.GetSamePrefixes() && sameProcess {
		s.Prefixes, s.PrefixesVersion = known.GetPrefixes(), known.GetPrefixesVersion()
	}
	if s.GetSameLoads() && sameProcess {
		s.ModelLoads = known.GetModelLoads()
	}
	s.SameLists, s.SamePrefixes, s.SameLoads = false, false, false
	return true
}
