package main

import (
	"expvar"

	"github.com/pomelowheel/pomelowheel/internal/appointment"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// newAppointments returns the changes of appointments after a position that it returned before.
func (g *gateway) newAppointments(after uint64) (*wirepb.Appointments, uint64) {
	return g.appointments.After(bootclock.Now(), after)
}

// receiveAppointments adds the changes of appointments that a peer sent.
func (g *gateway) receiveAppointments(peer string, changes *wirepb.Appointments) {
	if err := g.appointments.Receive(bootclock.Now(), changes); err != nil {
		g.log.Warn("invalid appointments of a peer", "peer", peer, "error", err)
	}
}

func (g *gateway) addAppointmentVars(vars map[string]expvar.Var) {
	publish := func(name string, value func(appointment.Stats) int64) {
		vars[name] = expvar.Func(func() any { return value(g.appointments.Stats()) })
	}
	publish("appointments_made", func(s appointment.Stats) int64 { return s.Made })
	publish("appointments_redeemed", func(s appointment.Stats) int64 { return s.Redeemed })
	publish("appointments_early", func(s appointment.Stats) int64 { return s.Early })
	publish("appointments_expired", func(s appointment.Stats) int64 { return s.Expired })
	vars["appointments_known"] = expvar.Func(func() any { return g.appointments.Known() })
}
