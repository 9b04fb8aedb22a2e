// Package rowversion orders the versions of the rows of the platform's store, also across a restore of the store from an earlier
// copy. After such a restore the store counts on from the copy's version, so that numbers are given out again. The store tells the
// restores apart by an era, which rises by one each time.
//
// A version is one integer: the era in the upper bits and the store's number in the lower ones. Versions, and the fencing tokens and
// epochs that are made from them, therefore never fall and are never given out twice. What a newer version does not tell is whether its
// row was written after the restore: it may be a row of the copy; Compare decides which of two rows is the newer one.
package rowversion

import (
	"fmt"
	"slices"
)

// numberBits are the bits of the store's number. An era below 8192 leaves a version exact in a JSON number.
const numberBits = 40

const (
	// MaxNumber is the greatest number of a version within its era.
	MaxNumber = 1<<numberBits - 1
	// MaxEra is the greatest era.
	MaxEra = 1<<(63-numberBits) - 1
)

// Join returns the version with the given number in an era. A store that sends no era has era 0.
func Join(era, number int64) (int64, error) {
	if era < 0 || era > MaxEra || number < 0 || number > MaxNumber {
		return 0, fmt.Errorf("era %d or number %d of a version is out of range", era, number)
	}
	return era<<numberBits | number, nil
}

// Era returns the era of a version.
func Era(version int64) int64 { return version >> numberBits }

// Number returns the number of a version within its era, as the store counts.
func Number(version int64) int64 { return version & MaxNumber }

// Content orders the states of one row by what its writer says in it: later states are lexicographically greater. An empty Content
// means that the row's value does not tell.
type Content []int64

// Entry is what decides about the order of the states of one row.
type Entry struct {
	Version int64
	Deleted bool
	Content Content // of a removed row: its last known one
}

// Order is the result of Compare.
type Order int

// The results of Compare.
const (
	// NotNewer means that the other row is the same or an older one.
	NotNewer Order = iota
	// Newer means that the other row is newer.
	Newer
	// Undecided means that the other row has the newer version but may be an older state from the copy. Its writer has to write it
	// again; if it is still listed when all writers had time to do so, it is the newer one.
	Undecided
)

// Compare reports whether next is newer than held, both of the same key.
func Compare(held, next Entry) Order {
	heldEra, nextEra := Era(held.Version), Era(next.Version)
	switch {
	case heldEra == nextEra:
		if next.Version > held.Version {
			return Newer
		}
		return NotNewer
	case heldEra < nextEra:
		return replaces(held, next)
	}
	if replaces(next, held) == NotNewer {
		return Newer // held is a row of the copy, and next was written after the copy was taken
	}
	return NotNewer
}

// replaces reports whether a row of a later era is newer than one of an earlier era.
func replaces(earlier, later Entry) Order {
	if later.Deleted {
		return Newer
	}
	if len(earlier.Content) > 0 && len(later.Content) > 0 {
		switch c := slices.Compare(later.Content, earlier.Content); {
		case c < 0:
			return NotNewer
		case c > 0:
			return Newer
		case earlier.Deleted:
			return Undecided // the state that was removed, or the same written again
		}
		return Newer
	}
	if Number(later.Version) > Number(earlier.Version) {
		return Newer // the copy has no numbers that were given out after it was taken
	}
	return Undecided
}
