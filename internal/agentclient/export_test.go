package agentclient

import "github.com/pomelowheel/pomelowheel/internal/wire/wirepb"

// StoreReport is exported for the tests.
func (a *Client) StoreReport(id string, u *wirepb.AgentUpdate) { a.storeReport(id, u) }
