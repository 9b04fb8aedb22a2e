package wire

import "github.com/pomelowheel/pomelowheel/internal/wire/wirepb"

// PeerUpdate wraps u in a frame.
func PeerUpdate(u *wirepb.PeerUpdate) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_PeerUpdate{PeerUpdate: u}}
}

// AgentTarget wraps t in a frame.
func AgentTarget(t *wirepb.AgentTarget) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_AgentTarget{AgentTarget: t}}
}

// AgentUpdate wraps u in a frame.
func AgentUpdate(u *wirepb.AgentUpdate) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_AgentUpdate{AgentUpdate: u}}
}

// AdapterRequest wraps r in a frame.
func AdapterRequest(r *wirepb.AdapterRequest) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_AdapterRequest{AdapterRequest: r}}
}

// AdapterReply wraps r in a frame.
func AdapterReply(r *wirepb.AdapterReply) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_AdapterReply{AdapterReply: r}}
}

// ColdRequest wraps r in a frame.
func ColdRequest(r *wirepb.ColdRequest) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_ColdRequest{ColdRequest: r}}
}

// ColdReply wraps r in a frame.
func ColdReply(r *wirepb.ColdReply) *wirepb.Envelope {
	return &wirepb.Envelope{Message: &wirepb.Envelope_ColdReply{ColdReply: r}}
}
