package wire

import (
	"hash/fnv"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// listFields returns a status with only those fields of s that rarely change, which lists_version covers.
func listFields(s *wirepb.Status) *wirepb.Status {
	return &wirepb.Status{
		Identity: s.GetIdentity(), Service: s.GetService(), Kind: s.GetKind(), Resident: s.GetResident(),
		Adapters: s.GetAdapters(), MemoryTotalMb: s.GetMemoryTotalMb(), BackendIncarnation: s.GetBackendIncarnation(),
	}
}

// contentVersion returns a non-zero hash of the message, or zero if it cannot be encoded. Hashes are only compared with
// those of the same process, because its incarnation is part of the list fields.
func contentVersion(m proto.Message) uint64 {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return 0 // equals no known version, so nothing is trimmed
	}
	h := fnv.New64a()
	_, _ = h.Write(encoded)
	return max(h.Sum64(), 1)
}

// SetVersions sets the versions of an untrimmed status, unless they are already set.
func SetVersions(s *wirepb.Status) {
	if s.GetListsVersion() == 0 {
		s.ListsVersion = contentVersion(listFields(s))
	}
	if s.GetPrefixesVersion() == 0 && !s.GetSamePrefixes() {
		s.PrefixesVersion = contentVersion(&wirepb.Status{Identity: s.GetIdentity(), Prefixes: s.GetPrefixes()})
	}
}

// TrimStatus sets the versions of s and removes the fields that the sender of r already has or does not want. It modifies
// and returns s.
func TrimStatus(s *wirepb.Status, r *wirepb.StatusRequest) *wirepb.Status {
	SetVersions(s)
	if s.GetListsVersion() != 0 && s.GetListsVersion() == r.GetKnownLists() {
		s.SameLists, s.ListsVersion = true, 0
		s.Identity, s.Service, s.Kind, s.Resident, s.Adapters = nil, "", "", nil, nil
		s.MemoryTotalMb, s.BackendIncarnation = 0, ""
	}
	samePrefixes := s.GetPrefixesVersion() != 0 && s.GetPrefixesVersion() == r.GetKnownPrefixes()
	if samePrefixes || r.GetOmitPrefixes() {
		s.SamePrefixes, s.Prefixes, s.PrefixesVersion = true, nil, 0
	}
	if r.GetOmitLoads() {
		s.SameLoads, s.ModelLoads = true, nil
	}
	return s
}

// CompleteStatus restores the fields that TrimStatus removed from s, using the last known status of the same sidecar,
// which may be nil. It modifies s. It returns false if the list fields were removed and known is nil. Prefixes and
// model loads that another incarnation of the process reported are not restored.
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
