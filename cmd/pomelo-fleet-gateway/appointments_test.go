package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"

	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Guards against invalid appointments of a peer that end its stream, or with which valid ones and the rest of the update get lost.
func TestInvalidAppointmentsLoseNothingElse(t *testing.T) {
	g := newFuzzGateway(t, fuzzSettings(t))
	queue := func(returnMS ...uint32) *wirepb.AppointmentQueue {
		return &wirepb.AppointmentQueue{Ids: []uint64{1 << 20}, ReturnMs: returnMS, Tokens: []uint32{1}, Organisations: []uint32{1}}
	}
	update := &wirepb.PeerUpdate{
		Identity: &wirepb.Identity{Host: "h", Address: "127.0.0.1:9"}, Members: []string{"127.0.0.1:10"},
		Appointments: &wirepb.Appointments{Made: []*wirepb.AppointmentQueue{queue(), queue(1 << 30), queue(500)}},
	}
	var frames bytes.Buffer
	for range 2 {
		if err := wire.Write(&frames, wire.PeerUpdate(update)); err != nil {
			t.Fatal(err)
		}
		update = &wirepb.PeerUpdate{Members: []string{"127.0.0.1:11"}}
	}
	ours, theirs := net.Pipe()
	go func() {
		_, _ = theirs.Write(frames.Bytes())
		_ = theirs.Close()
	}()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	g.handlePeer(context.Background(), &transport.Stream{Conn: ours})
	_ = ours.Close()
	if got := g.appointments.Known(); got != 1 {
		t.Errorf("%d appointments are known", got)
	}
	if got := g.mesh.KnownCount(); got != 4 { // with this gateway and the sender
		t.Errorf("%d gateways are known", got)
	}
}
