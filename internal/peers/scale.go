package peers

import "github.com/pomelowheel/pomelowheel/internal/wire/wirepb"

// sentScale records what was sent to a peer on one stream of the demand for services with scaling.
type sentScale struct {
	epoch    int64                            // of the peer, for which all services were sent
	services map[string]*wirepb.ServiceDemand // as sent
	names    nameEncoder
}

// addScale adds to u the demand for services with scaling, if the peer holds the duties under the given epoch: all of it in the first
// report under an epoch, and then what changed. The first report tells the peer that the services it does not name have no demand,
// rather than demand that has not been sent.
func (s *sentState) addScale(u *wirepb.PeerUpdate, own *ownState, epoch int64) {
	if !own.scaled || epoch == 0 {
		return
	}
	sent := &s.scale
	report := &wirepb.ScaleReport{}
	if sent.epoch != epoch {
		report.PlannerEpoch, sent.epoch = epoch, epoch
		clear(sent.services)
	}
	for _, d := range own.serviceDemand {
		if last := sent.services[d.GetService()]; last != nil && last.GetWork() == d.GetWork() &&
			last.GetRefused() == d.GetRefused() && last.GetWaiting() == d.GetWaiting() {
			continue
		}
		sent.services[d.GetService()] = d
		number, name := sent.names.encode(d.GetService())
		report.Services = append(report.Services, &wirepb.ServiceDemand{
			Number: number, Service: name, Work: d.GetWork(), Refused: d.GetRefused(), Waiting: d.GetWaiting(),
		})
	}
	if report.PlannerEpoch != 0 || len(report.Services) > 0 {
		u.Scale = report
	}
}

// receivedScale is the demand for services with scaling that a peer sent on one stream.
type receivedScale struct {
	epoch    int64 // of this gateway, for which the services are complete; zero before the first report
	services map[string]*wirepb.ServiceDemand
	names    nameDecoder
}

// apply applies a report. It reports false for an unknown number.
func (r *receivedScale) apply(report *wirepb.ScaleReport) bool {
	if epoch := report.GetPlannerEpoch(); epoch != 0 {
		r.epoch = epoch
		clear(r.services)
	}
	for _, d := range report.GetServices() {
		name, ok := r.names.decode(d.GetNumber(), d.GetService())
		if !ok {
			return false
		}
		d.Service = name
		r.services[name] = d
	}
	return true
}
