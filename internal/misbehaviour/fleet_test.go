package misbehaviour

import (
	"testing"
)

const (
	// memoryMB and maxFDs are the limits in the settings of the processes of a fleet. A third of maxFDs less 200 is for callers,
	// and a sixteenth for each of readiness and metrics, so that crowds of 120 and 30 are above both.
	memoryMB = 64
	maxFDs   = 500
	// manyFDs lets 480 callers connect.
	manyFDs = 1700

	callersCrowd   = 120
	operatorsCrowd = 30

	routed   = "/book/"
	unrouted = "/nothing/here"
)

func (f *fleetSystem) checkCallers(t *testing.T, clients int, send client) {
	t.Helper()
	crowd{f.callers, clients, clients, send}.check(t, f.gateway, f.memory, f.descriptors, f.book)
}

// checkReadiness also checks that callers are served, because readiness must not take from them.
func (f *fleetSystem) checkReadiness(t *testing.T, clients int, send client) {
	t.Helper()
	crowd{f.readiness, clients, operatorsCrowd, send}.check(t, f.gateway, f.memory, f.descriptors, func() error {
		if err := f.ready(); err != nil {
			return err
		}
		return f.book()
	})
}

// Guards against bodies that are held beyond the memory of the process, and against callers that keep the share of connections.
func TestCallersWhoseBodiesStopShort(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkCallers(t, callersCrowd, shortBodies(routed, 1<<20))
}

// Guards against bodies that are waited for without a limit because no route has set one.
func TestCallersWhoseBodiesStopShortWithoutARoute(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkCallers(t, callersCrowd, shortBodies(unrouted, 200<<10))
}

// Guards against bodies that are read beyond the limit of the configuration.
func TestCallersWhoseBodiesAreTooLong(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkCallers(t, callersCrowd, longBodies(routed))
}

func TestCallersWhoseBodiesAreTooLongWithoutARoute(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkCallers(t, callersCrowd, longBodies(unrouted))
}

// Guards against memory of parsed heads that is bounded one by one only: heads of 10 KB, which every configuration allows.
func TestCallersWithManyFields(t *testing.T) {
	startFleet(t, memoryMB, manyFDs).checkCallers(t, 480, manyFields(routed, 1500))
}

// The same with heads of 120 KB, the most that a configuration allows.
func TestCallersWithTheLongestHeads(t *testing.T) {
	startFleet(t, memoryMB, manyFDs).checkCallers(t, 300, manyFields(routed, 18_000))
}

func TestCallersWithTheLongestHeadsWithoutARoute(t *testing.T) {
	startFleet(t, memoryMB, manyFDs).checkCallers(t, 300, manyFields(unrouted, 18_000))
}

// Guards against answers that are waited to be read without a limit, which keeps the share of connections.
func TestCallersThatSendRequestsAhead(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkCallers(t, callersCrowd, requestsAhead(routed, 3000))
}

func TestCallersThatSendRequestsAheadWithoutARoute(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkCallers(t, callersCrowd, requestsAhead(unrouted, 3000))
}

// Guards against slow callers that keep the share of connections.
func TestCallersThatAreSlow(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkCallers(t, callersCrowd, slow(routed))
}

func TestCallersThatAreSlowWithoutARoute(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkCallers(t, callersCrowd, slow(unrouted))
}

// Guards against the same clients at the readiness address.
func TestReadinessWithManyFields(t *testing.T) {
	f := startFleet(t, memoryMB, manyFDs)
	crowd{f.readiness, 900, 45, manyFields("/", 90_000)}.check(t, f.gateway, f.memory, f.descriptors, f.ready)
}

func TestReadinessWhoseBodiesStopShort(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkReadiness(t, operatorsCrowd, shortBodies("/", 200<<10))
}

func TestReadinessWhoseBodiesAreTooLong(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkReadiness(t, operatorsCrowd, longBodies("/"))
}

func TestReadinessWithRequestsAhead(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkReadiness(t, operatorsCrowd, requestsAhead("/", 60_000))
}

func TestReadinessThatIsCalledSlowly(t *testing.T) {
	startFleet(t, memoryMB, maxFDs).checkReadiness(t, operatorsCrowd, slow("/"))
}

// Guards against answers of 20 KB, longer than those of the other addresses, that nobody reads.
func TestMetricsWithRequestsAhead(t *testing.T) {
	f := startFleet(t, memoryMB, maxFDs)
	crowd{f.metrics, operatorsCrowd, operatorsCrowd, requestsAhead("/debug/vars", 20_000)}.check(t, f.gateway, f.memory, f.descriptors,
		get("http://"+f.metrics+"/debug/vars"))
}

func TestMetricsWithManyFields(t *testing.T) {
	f := startFleet(t, memoryMB, manyFDs)
	crowd{f.metrics, 300, 45, manyFields("/debug/vars", 90_000)}.check(t, f.gateway, f.memory, f.descriptors, f.book)
}

// Guards against frames of other processes that are bounded one by one only.
func TestPeersWhoseFramesStall(t *testing.T) {
	f := startFleet(t, memoryMB, maxFDs)
	crowd{f.control, operatorsCrowd, operatorsCrowd, stalledFrames}.check(t, f.gateway, f.memory, f.descriptors, f.chat)
}

// Guards against connections to the port of other gateways that never become a session. Crowd and share: 75 sessions.
func TestPeersThatAreSlow(t *testing.T) {
	f := startFleet(t, memoryMB, maxFDs)
	crowd{f.control, callersCrowd, callersCrowd, slow("/")}.check(t, f.gateway, f.memory, f.descriptors, f.chat)
}

func TestAgentMetricsWithManyFields(t *testing.T) {
	f := startFleet(t, memoryMB, manyFDs)
	crowd{f.agentMetrics, 300, 45, manyFields("/debug/vars", 90_000)}.check(t, f.agent, f.memory, f.descriptors,
		get("http://"+f.agentMetrics+"/debug/vars"))
}

func TestAgentMetricsWhoseBodiesStopShort(t *testing.T) {
	f := startFleet(t, memoryMB, maxFDs)
	crowd{f.agentMetrics, operatorsCrowd, operatorsCrowd, shortBodies("/debug/vars", 200<<10)}.check(t, f.agent, f.memory, f.descriptors,
		get("http://"+f.agentMetrics+"/debug/vars"))
}

func TestAgentPeersWhoseFramesStall(t *testing.T) {
	f := startFleet(t, memoryMB, maxFDs)
	crowd{f.agentPeers, operatorsCrowd, operatorsCrowd, stalledFrames}.check(t, f.agent, f.memory, f.descriptors, f.chat)
}
