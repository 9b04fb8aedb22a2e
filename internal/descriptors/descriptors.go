// Package descriptors divides the file descriptors that a process may open between the kinds of connections that it holds, and
// gives idle connections back when none is free. Use Divide for the bounds of the parts of a process, and a Reclaimer where
// a connection is accepted or opened.
package descriptors

import (
	"errors"
	"math"
	"syscall"
)

const (
	// ownFiles is the number of descriptors for what is no connection: the log, the poller, listeners, settings that are read.
	ownFiles = 32
	// minAllowance keeps a process with very few descriptors able to serve at all.
	minAllowance = 64
)

// Shares are the largest numbers of connections of each kind. What they leave of the allowance is for connections with
// a request in progress at a backend server, to the store and to other processes.
type Shares struct {
	Callers      int // connections of callers, idle or not
	IdleServers  int // idle connections to all backend servers together
	PeerSessions int // sessions that other processes have opened
	Operators    int // connections for readiness checks, and as many for metrics
}

// Divide returns the shares of a gateway that may have allowance connections. A third is for callers: each of them may need a
// connection to a server, or two while a silent server is replaced.
func Divide(allowance int) Shares {
	allowance = max(allowance, minAllowance)
	return Shares{
		Callers: allowance / 3, IdleServers: allowance / 8, PeerSessions: allowance / 4, Operators: min(allowance/16, 64),
	}
}

// DivideBeside returns the shares of a process beside a backend server, which has no callers and gets its requests in the sessions of
// gateways.
func DivideBeside(allowance int) Shares {
	allowance = max(allowance, minAllowance)
	return Shares{PeerSessions: allowance * 3 / 4, Operators: min(allowance/16, 64)}
}

// Allowance returns the number of connections that this process may have: configured, if that is positive, or less if the
// limit of the operating system is lower.
func Allowance(configured int) int {
	allowance := math.MaxInt32
	if configured > 0 {
		allowance = configured
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		allowance = int(min(uint64(allowance), max(limit.Cur, ownFiles)-ownFiles))
	}
	return max(allowance, minAllowance)
}

// Exhausted reports whether err says that the process or its host has no free file descriptor.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
