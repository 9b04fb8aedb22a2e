package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/admission"
	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// defaultDeadline applies when neither the request nor its profile has a deadline.
const defaultDeadline = 10 * time.Minute

// confirmedConfig confirms and returns the configuration, which has at least the given version. The gateway at
// address (IP:port) has that version. The error has kind ConfigStale or NotReady.
func (s *Server) confirmedConfig(ctx context.Context, address string, version int64) (*config.Snapshot, error) {
	if err := s.opts.Config.Confirm(ctx); err != nil {
		return nil, errkind.Wrap(errkind.ConfigStale, err, "confirm the configuration")
	}
	snapshot := s.opts.Config.Snapshot()
	if snapshot != nil && snapshot.Version() < version {
		if puller, ok := s.opts.Config.(Puller); ok {
			if err := puller.Pull(ctx, address, version); err != nil {
				return nil, errkind.Wrap(errkind.ConfigStale, err, "pull configuration version %d", version)
			}
		}
		snapshot = s.opts.Config.Snapshot()
	}
	switch {
	case snapshot == nil || snapshot.Version() == 0:
		return nil, errkind.New(errkind.NotReady, "no configuration yet")
	case snapshot.Version() < version:
		return nil, errkind.New(errkind.ConfigStale, "configuration version %d is older than the request's %d",
			snapshot.Version(), version)
	}
	return snapshot, nil
}

// checkKey checks the request's API key by its ID. An open service needs none.
func checkKey(snapshot *config.Snapshot, r *wirepb.Submit) error {
	service, _ := snapshot.Service(r.GetService())
	if r.GetKeyId() == "" {
		if service.Open {
			return nil
		}
		return errkind.New(errkind.KeyMissing, "service %q is not open", r.GetService())
	}
	key, ok := snapshot.Key(r.GetKeyId())
	switch {
	case !ok:
		return errkind.New(errkind.KeyUnknown, "key %q", r.GetKeyId())
	case key.Withdrawn:
		return errkind.New(errkind.KeyWithdrawn, "key %q", r.GetKeyId())
	case key.Organisation != r.GetOrganisation():
		return errkind.New(errkind.KeyUnknown, "key %q does not belong to organisation %q", r.GetKeyId(), r.GetOrganisation())
	}
	return nil
}

func (s *Server) checkDataCentre(snapshot *config.Snapshot) error {
	name := s.opts.Settings.Process.DataCentre
	if dc, ok := snapshot.DataCentre(name); !ok || dc.OutOfService {
		return errkind.New(errkind.DataCentreOut, "data centre %q", name)
	}
	return nil
}

// checkService checks that this sidecar serves the service and that the service allows the profile.
func (s *Server) checkService(snapshot *config.Snapshot, name, profile string) (config.Profile, error) {
	service, ok := snapshot.Service(name)
	if !ok || name != s.opts.Settings.Backend.Service || string(service.Kind) != s.opts.Settings.Backend.Kind {
		return config.Profile{}, errkind.New(errkind.RouteNotFound, "service %q is not served here", name)
	}
	if profile != service.Profile && !slices.Contains(service.AllowedProfiles, profile) {
		return config.Profile{}, errkind.New(errkind.ProfileNotAllowed, "profile %q of service %q", profile, name)
	}
	p, ok := snapshot.Profile(profile)
	if !ok {
		return config.Profile{}, errkind.New(errkind.ProfileNotAllowed, "profile %q is not known", profile)
	}
	return p, nil
}

// checkModel checks that the model can be served now. The caller holds the lock.
func (s *Server) checkModel(snapshot *config.Snapshot, name string) (config.Model, error) {
	model, ok := snapshot.Model(name)
	if !ok || model.Service != s.opts.Settings.Backend.Service {
		return config.Model{}, errkind.New(errkind.ModelUnknown, "model %q", name)
	}
	if base := baseOf(model); !s.resident(base) {
		return config.Model{}, errkind.New(errkind.ModelNotResident, "model %q", base)
	}
	if model.Adapter() && !s.ledger.HasAdapter(name) && s.ledger.Free()+s.idleAdapterMB() < model.MemoryMB {
		return config.Model{}, errkind.New(errkind.MemoryFull, "the adapter needs %d MB, %d MB are free",
			model.MemoryMB, s.ledger.Free())
	}
	return model, nil
}

func baseOf(m config.Model) string {
	if m.Adapter() {
		return m.Base
	}
	return m.Name
}

// kvMB returns the size of the KV cache, in mebibytes, to reserve for a request. It covers the profile's tokens, or the
// request's own if they are more.
func kvMB(snapshot *config.Snapshot, model config.Model, profile config.Profile, tokens int64) int64 {
	perToken := model.KVTokenKB
	if base, ok := snapshot.Model(baseOf(model)); ok && perToken == 0 {
		perToken = base.KVTokenKB
	}
	return (max(profile.KVTokens, tokens)*perToken + 1023) / 1024
}

// checkMemory refuses a request that would not fit even if it ran alone. The caller holds the lock.
func (s *Server) checkMemory(mb int64) error {
	if room := s.ledger.Total() - s.ledger.ModelsMB(); mb > room {
		return errkind.New(errkind.MemoryFull, "%d MB of KV cache are needed, %d MB are left beside the models", mb, room)
	}
	return nil
}

// admit runs all admission checks in order and queues the request. It returns the expected wait in the queue.
func (s *Server) admit(ctx context.Context, t *task) (time.Duration, error) {
	r := t.submit
	snapshot, err := s.confirmedConfig(ctx, r.GetGatewayAddress(), r.GetConfigVersion())
	if err != nil {
		return 0, err
	}
	if err := checkKey(snapshot, r); err != nil {
		return 0, err
	}
	if err := s.checkDataCentre(snapshot); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admissionClosed {
		return 0, errkind.New(errkind.Draining, "host %q", s.opts.Settings.Process.Host)
	}
	if t.profile, err = s.checkService(snapshot, r.GetService(), r.GetProfile()); err != nil {
		return 0, err
	}
	if err := s.prepare(snapshot, t); err != nil {
		return 0, err
	}
	now := time.Now()
	limit := s.ramp.Limit()
	wait, err := s.queue.Check(now, t.item, limit)
	if err == nil {
		err = s.checkMemory(t.kvMB)
	}
	if err != nil {
		return wait, err
	}
	if wait, err = s.queue.Offer(now, t.item, limit); err != nil {
		return wait, err
	}
	s.tasks[t.item] = t
	s.openRequests++
	s.countDemand(t)
	return wait, nil
}

// prepare sets the task's model, KV cache and queue item. The caller holds the lock.
func (s *Server) prepare(snapshot *config.Snapshot, t *task) error {
	r := t.submit
	tokens := max(r.GetPromptTokens()+r.GetMaxOutputTokens(), 1)
	if s.isModel() {
		model, err := s.checkModel(snapshot, r.GetModel())
		if err != nil {
			return err
		}
		t.model = model
		t.kvMB = kvMB(snapshot, model, t.profile, tokens)
	}
	organisation, _ := snapshot.Organisation(r.GetOrganisation())
	t.item = &admission.Item{
		Organisation: r.GetOrganisation(), Weight: organisation.Weight, Batch: t.profile.Class == config.ClassBatch,
		Priority: t.profile.Priority, Deadline: t.deadline, Tokens: tokens,
		StartBy: startBy(t),
	}
	return nil
}

// startBy returns when the task must start to meet its first-token target, or zero if its profile has no deadline. The
// target counts from the arrival at the gateway, which is computed from the deadline.
func startBy(t *task) time.Time {
	if t.profile.DeadlineMS <= 0 {
		return time.Time{}
	}
	return admission.StartBy(t.deadline.Add(-t.profile.Deadline()), time.Duration(t.profile.FirstTokenMS)*time.Millisecond)
}

// recheck repeats the checks whose result may have changed while the request was queued or the process was paused.
func (s *Server) recheck(ctx context.Context, t *task) error {
	snapshot, err := s.confirmedConfig(ctx, t.submit.GetGatewayAddress(), t.submit.GetConfigVersion())
	if err != nil {
		return err
	}
	if err := checkKey(snapshot, t.submit); err != nil {
		return err
	}
	if err := s.checkDataCentre(snapshot); err != nil {
		return err
	}
	if !time.Now().Before(t.deadline) {
		return errkind.New(errkind.DeadlineUnreachable, "the deadline passed in the queue")
	}
	return nil
}

// answerProbe reports whether a request would be admitted, without queueing it.
func (s *Server) answerProbe(ctx context.Context, p *wirepb.Probe) *wirepb.ProbeReply {
	t := &task{deadline: time.Now().Add(defaultDeadline), submit: &wirepb.Submit{
		Organisation: p.GetOrganisation(), Service: p.GetService(), Profile: p.GetProfile(), Model: p.GetModel(),
		MaxOutputTokens: p.GetTokens(),
	}}
	reply := new(wirepb.ProbeReply)
	snapshot, err := s.confirmedConfig(ctx, "", 0)
	if err == nil {
		err = s.checkDataCentre(snapshot)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.PrefixHit = s.recentPrefixes.contains(p.GetPrefixHash())
	if err == nil {
		reply.Resident = s.canServe(p.GetModel())
		err = s.checkProbe(snapshot, t, reply)
	}
	reply.Kind = int32(errkind.Of(err))
	return reply
}

// checkProbe runs the probe's admission checks and sets the expected wait in reply. The caller holds the lock.
func (s *Server) checkProbe(snapshot *config.Snapshot, t *task, reply *wirepb.ProbeReply) error {
	if s.draining {
		return errkind.New(errkind.Draining, "host %q", s.opts.Settings.Process.Host)
	}
	var err error
	if t.profile, err = s.checkService(snapshot, t.submit.GetService(), t.submit.GetProfile()); err != nil {
		return err
	}
	if t.profile.DeadlineMS > 0 {
		t.deadline = time.Now().Add(t.profile.Deadline())
	}
	if err := s.prepare(snapshot, t); err != nil {
		return err
	}
	wait, err := s.queue.Check(time.Now(), t.item, s.ramp.Limit())
	reply.QueueMs = wait.Milliseconds()
	if err != nil {
		return err
	}
	return s.checkMemory(t.kvMB)
}
