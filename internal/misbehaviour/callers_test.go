package misbehaviour

import (
	"testing"
)

// defaultMemory bounds the processes whose settings name no memory. It is what internal/memorybudget divides in that case.
const defaultMemory = 256 << 20

func (c *callerSystem) checkGateway(t *testing.T, clients int, send client) {
	t.Helper()
	crowd{c.callers, clients, clients, send}.check(t, c.gateway, defaultMemory, c.gateway.descriptorLimit(t), func() error {
		if err := get("http://" + c.callers + "/readyz")(); err != nil {
			return err
		}
		return c.book()
	})
}

func (c *callerSystem) checkDebug(t *testing.T, clients int, send client) {
	t.Helper()
	crowd{c.debug, clients, clients, send}.check(t, c.sidecar, defaultMemory, c.sidecar.descriptorLimit(t), get("http://"+c.debug+"/readyz"))
}

// Guards against memory of parsed heads that is bounded one by one only.
func TestCallersOfPomeloGatewayWithTheLongestHeads(t *testing.T) {
	startCallerSystem(t).checkGateway(t, 450, manyFields("/services/lantern-ledger/health", 18_000))
}

func TestCallersOfPomeloGatewayWithTheLongestHeadsWithoutARoute(t *testing.T) {
	startCallerSystem(t).checkGateway(t, 450, manyFields(unrouted, 18_000))
}

// Guards against bodies that are bounded one by one only.
func TestCallersOfPomeloGatewayWhoseBodiesStopShort(t *testing.T) {
	startCallerSystem(t).checkGateway(t, 300, shortBodies("/services/lantern-ledger/book", 1<<20))
}

func TestCallersOfPomeloGatewayThatAreSlow(t *testing.T) {
	startCallerSystem(t).checkGateway(t, 300, slow("/services/lantern-ledger/book"))
}

func TestCallersOfPomeloGatewayThatSendRequestsAhead(t *testing.T) {
	startCallerSystem(t).checkGateway(t, callersCrowd, requestsAhead("/services/lantern-ledger/health", 3000))
}

// Guards against a debug listener without a limit on connections, and with heads of 1 MB.
func TestSidecarDebugWithManyFields(t *testing.T) {
	startCallerSystem(t).checkDebug(t, 250, manyFields("/debug/vars", 90_000))
}

func TestSidecarDebugWhoseBodiesStopShort(t *testing.T) {
	startCallerSystem(t).checkDebug(t, 100, shortBodies("/readyz", 200<<10))
}

func TestSidecarPeersWhoseFramesStall(t *testing.T) {
	c := startCallerSystem(t)
	crowd{c.sidecarPeers, 50, 50, stalledFrames}.check(t, c.sidecar, defaultMemory, c.sidecar.descriptorLimit(t), c.book)
}
