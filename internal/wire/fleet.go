package wire

import "github.com/pomelowheel/pomelowheel/internal/wire/wirepb"

// PeerUpdate returns an Envelope that carries u.
func PeerUpdate(u *wirepb.PeerUpdate) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_PeerUpdate{PeerUpdate: u}}
}

// AgentTarget returns an Envelope that carries t.
func AgentTarget(t *wirepb.AgentTarget) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_AgentTarget{AgentTarget: t}}
}

// AgentUpdate returns an Envelope that carries u.
func AgentUpdate(u *wirepb.AgentUpdate) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_AgentUpdate{AgentUpdate: u}}
}

// AdapterRequest returns an Envelope that carries r.
func AdapterRequest(r *wirepb.AdapterRequest) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_AdapterRequest{AdapterRequest: r}}
}

// AdapterReply returns an Envelope that carries r.
func AdapterReply(r *wirepb.AdapterReply) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_AdapterReply{AdapterReply: r}}
}

// ColdRequest returns an Envelope that carries r.
func ColdRequest(r *wirepb.ColdRequest) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_ColdRequest{ColdRequest: r}}
}

// ColdReply returns an Envelope that carries r.
func ColdReply(r *wirepb.ColdReply) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_ColdReply{ColdReply: r}}
}

// RowRequest returns an Envelope that carries r.
func RowRequest(r *wirepb.RowRequest) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_RowRequest{RowRequest: r}}
}

// RowChunk returns an Envelope that carries c.
func RowChunk(c *wirepb.RowChunk) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_RowChunk{RowChunk: c}}
}
