// Package memorybudget bounds the bytes that a process holds for requests in progress: bodies of callers, answers and events of
// backend servers. A holder takes bytes from a Budget before it reads them, and gives them back whatever happens. It does no
// I/O; nothing waits: what the budget does not cover is refused at once.
package memorybudget

import (
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

const (
	// bodiesFraction and answersFraction divide the memory of a process, as divisors. The rest is for what the process always
	// needs, for buffers that grow by copies, and for what the garbage collector has not freed yet.
	bodiesFraction      = 5
	shortBodiesFraction = 32
	answersFraction     = 8
	// headsFraction covers a head of 128 KB, the longest that a configuration allows, of the shortest fields from 48 MB on.
	headsFraction         = 10
	operatorHeadsFraction = 64
	framesFraction        = 10
	// framesBesideFraction is for a process beside a backend server, which has no callers and gets bodies in frames. Frames that
	// wait hold as much again in yamux, and the garbage collector lets the heap grow to twice of both.
	framesBesideFraction = 8
	// limitPercent is the part of the memory that the Go runtime may use, in percent; the rest is for what it does not count.
	limitPercent = 70
	// programBytes is the least that the limit of the Go runtime leaves: of a program, 14 MB of the file are resident, and the
	// runtime does not count its own tables and the kernel's buffers. It is more than 30% on hosts below 93 MB.
	programBytes = 28 << 20
	// defaultMemory is used if the settings name no memory, in bytes.
	defaultMemory = 256 << 20
	// stepBytes is the least that a Lease takes at a time.
	stepBytes = 64 << 10
)

// Shares are the bounds of a process, in bytes.
type Shares struct {
	Bodies      int64 // long bodies of callers' requests
	ShortBodies int64 // short ones, so that long ones do not keep them out
	Answers     int64 // parts of servers' answers that are not relayed yet
	Heads       int64 // parsed heads of callers' requests beyond those of ordinary size
	// OperatorHeads is the same for readiness checks and for metrics, which do not take from callers.
	OperatorHeads int64
	Frames        int64 // of other processes, while they arrive
	Limit         int64 // for debug.SetMemoryLimit; zero for none
}

// Divide returns the shares of a process that may use memory bytes, or the defaults if memory is not positive.
func Divide(memory int64) Shares {
	s := Shares{Limit: max(min(memory/100*limitPercent, memory-programBytes), memory/2)}
	if memory <= 0 {
		memory, s.Limit = defaultMemory, 0
	}
	s.Bodies, s.ShortBodies, s.Answers = memory/bodiesFraction, memory/shortBodiesFraction, memory/answersFraction
	s.Heads, s.OperatorHeads, s.Frames = memory/headsFraction, memory/operatorHeadsFraction, memory/framesFraction
	return s
}

// DivideBeside returns the shares of a process beside a backend server, which has no callers.
func DivideBeside(memory int64) Shares {
	s := Divide(memory)
	if memory <= 0 {
		memory = defaultMemory
	}
	return Shares{OperatorHeads: s.OperatorHeads, Frames: memory / framesBesideFraction, Limit: s.Limit}
}

// Budget is a number of bytes. It is safe for concurrent use.
type Budget struct {
	bound   int64
	free    *semaphore.Weighted
	held    atomic.Int64
	refused atomic.Int64
}

// New returns a budget of bound bytes.
func New(bound int64) *Budget { return &Budget{bound: bound, free: semaphore.NewWeighted(bound)} }

// Bound returns the size of the budget in bytes.
func (b *Budget) Bound() int64 { return b.bound }

// Held returns the bytes that are taken now.
func (b *Budget) Held() int64 { return b.held.Load() }

// Refused returns how often the budget did not cover what was asked for.
func (b *Budget) Refused() int64 { return b.refused.Load() }

func (b *Budget) take(n int64) bool {
	if n > b.bound || !b.free.TryAcquire(n) {
		b.refused.Add(1)
		return false
	}
	b.held.Add(n)
	return true
}

// Lease holds the bytes of one buffer that may grow. It is not safe for concurrent use.
type Lease struct {
	budget *Budget
	exempt int64 // bytes that need not be taken
	held   int64
}

// Lease returns a lease without bytes. The first exempt bytes of the buffer are not taken from the budget.
func (b *Budget) Lease(exempt int) *Lease { return &Lease{budget: b, exempt: int64(exempt)} }

// Cover reports whether a buffer of size bytes is covered, and takes what is missing. After false the lease is as before.
func (l *Lease) Cover(size int64) bool {
	missing := size - l.exempt - l.held
	if missing <= 0 {
		return true
	}
	if step := max(missing, stepBytes); l.budget.take(step) {
		l.held += step
		return true
	}
	return false
}

// Exactly is Cover without taking more than needed, for a buffer that does not grow later.
func (l *Lease) Exactly(size int64) bool {
	missing := size - l.exempt - l.held
	if missing <= 0 {
		return true
	}
	if !l.budget.take(missing) {
		return false
	}
	l.held += missing
	return true
}

// Release gives all bytes back. The lease may be used again.
func (l *Lease) Release() {
	if l.held > 0 {
		l.budget.free.Release(l.held)
		l.budget.held.Add(-l.held)
		l.held = 0
	}
}
