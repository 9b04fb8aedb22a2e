package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/background"
	"github.com/pomelowheel/pomelowheel/internal/fleetguard"
	"github.com/pomelowheel/pomelowheel/internal/serversigns"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// guardInterval is the interval at which the prompt guard does what is due.
const guardInterval = 100 * time.Millisecond

// Guard implements peers.Source.
func (g *gateway) Guard(after uint64, relay bool) (*wirepb.GuardReport, uint64) {
	r, until, now := g.server.Prompts().Report(after, relay)
	if r.Empty() {
		return nil, until
	}
	return guardToWire(r, now), until
}

func (g *gateway) runGuard(ctx context.Context) error {
	for {
		if err := background.Sleep(ctx, guardInterval); err != nil {
			return err
		}
		g.server.Prompts().Tick()
	}
}

func guardToWire(r fleetguard.Report, now time.Duration) *wirepb.GuardReport {
	age := func(at time.Duration) int64 { return max(0, (now - at).Milliseconds()) }
	w := &wirepb.GuardReport{}
	for _, e := range r.Ends {
		end := &wirepb.ServerEnd{Server: e.Server.ID, Born: e.Server.Born, AgeMs: age(e.At)}
		for _, x := range e.Exposures {
			end.Requests = append(end.Requests, &wirepb.BrokenRequest{RequestId: x.RequestID, Model: x.Model, Parts: x.Parts, Session: x.Session})
		}
		w.Ends = append(w.Ends, end)
	}
	for _, s := range r.Sound {
		w.Sound = append(w.Sound, &wirepb.SoundFeature{Feature: featureToWire(s.Feature), AgeMs: age(s.At)})
	}
	for _, refusal := range r.Refusals {
		one := &wirepb.PromptRefusal{
			AgeMs: age(refusal.Since), FirstEndAgeMs: age(refusal.FirstEnd), LastEndAgeMs: age(refusal.LastEnd), LastTrialAgeMs: -1,
			Ends: int32(refusal.Ends), Moments: int32(refusal.Moments), Trials: int32(refusal.Trials), FoundedTrials: int32(refusal.FoundedTrials),
			Servers: refusal.Servers, Requests: refusal.Requests, SoundBefore: refusal.SoundBefore,
		}
		if refusal.Trials > 0 {
			one.LastTrialAgeMs = age(refusal.LastTrial)
		}
		for _, f := range refusal.Features {
			one.Features = append(one.Features, featureToWire(f))
		}
		w.Refusals = append(w.Refusals, one)
	}
	return w
}

func featureToWire(f fleetguard.Feature) *wirepb.PromptFeature {
	return &wirepb.PromptFeature{Model: f.Model, Part: f.Part}
}

func guardFromWire(w *wirepb.GuardReport, now time.Duration) fleetguard.Report {
	at := func(ageMS int64) time.Duration {
		return now - time.Duration(max(0, min(ageMS, maxAgeMS)))*time.Millisecond
	}
	feature := func(f *wirepb.PromptFeature) fleetguard.Feature {
		return fleetguard.Feature{Model: f.GetModel(), Part: f.GetPart()}
	}
	var r fleetguard.Report
	for _, e := range w.GetEnds() {
		end := fleetguard.EndReport{Server: serversigns.Server{ID: e.GetServer(), Born: e.GetBorn()}, At: at(e.GetAgeMs())}
		for _, x := range e.GetRequests() {
			end.Exposures = append(end.Exposures, fleetguard.Exposure{RequestID: x.GetRequestId(), Model: x.GetModel(), Parts: x.GetParts(), Session: x.GetSession()})
		}
		r.Ends = append(r.Ends, end)
	}
	for _, s := range w.GetSound() {
		r.Sound = append(r.Sound, fleetguard.SoundReport{Feature: feature(s.GetFeature()), At: at(s.GetAgeMs())})
	}
	for _, refusal := range w.GetRefusals() {
		one := fleetguard.Refusal{
			Since: at(refusal.GetAgeMs()), FirstEnd: at(refusal.GetFirstEndAgeMs()), LastEnd: at(refusal.GetLastEndAgeMs()),
			Ends: int(refusal.GetEnds()), Moments: int(refusal.GetMoments()), Trials: int(refusal.GetTrials()),
			FoundedTrials: int(refusal.GetFoundedTrials()), Servers: refusal.GetServers(), Requests: refusal.GetRequests(), SoundBefore: refusal.GetSoundBefore(),
		}
		if refusal.GetLastTrialAgeMs() >= 0 && one.Trials > 0 {
			one.LastTrial = at(refusal.GetLastTrialAgeMs())
		}
		for _, f := range refusal.GetFeatures() {
			one.Features = append(one.Features, feature(f))
		}
		r.Refusals = append(r.Refusals, one)
	}
	return r
}

// maxAgeMS bounds the ages that a peer states, in milliseconds: a year.
const maxAgeMS = 365 * 24 * 60 * 60 * 1000

// refusedPrompt is a refusal as operators see it.
type refusedPrompt struct {
	Parts        []refusedPart `json:"parts"` // requests with all of them are refused
	AgeSeconds   float64       `json:"age_s"`
	ServersEnded int           `json:"servers_ended"`
	Servers      []string      `json:"servers"`  // some of them
	Requests     []string      `json:"requests"` // some that the servers did not finish
	Refused      int           `json:"refused"`  // requests that this gateway has refused
	Trials       int           `json:"trials"`
}

type refusedPart struct {
	Part  string `json:"part"`
	Model string `json:"model,omitempty"` // empty: with every model
}

func (g *gateway) refusedPrompts() []refusedPrompt {
	refusals, now := g.server.Prompts().Refusals()
	list := []refusedPrompt{}
	for _, r := range refusals {
		one := refusedPrompt{
			AgeSeconds: (now - r.Since).Seconds(), ServersEnded: r.Ends, Servers: r.Servers, Requests: r.Requests, Refused: r.Refused, Trials: r.Trials,
		}
		for _, f := range r.Features {
			one.Parts = append(one.Parts, refusedPart{f.Part, f.Model})
		}
		list = append(list, one)
	}
	return list
}

// addRefusedPrompts adds the paths by which operators list the prompts that are refused, and clear them.
func (g *gateway) addRefusedPrompts(router *mux.Router) {
	router.HandleFunc("/refused-prompts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(g.refusedPrompts()); err != nil {
			g.log.Debug("refused prompts not written to the operator", "error", err)
		}
	}).Methods(http.MethodGet)
	router.HandleFunc("/refused-prompts/{part}", func(w http.ResponseWriter, r *http.Request) {
		part := mux.Vars(r)["part"]
		found := g.server.Prompts().Clear(part)
		g.log.Warn("an operator cleared a part of prompts", "part", part, "was_refused", found)
		if !found {
			http.Error(w, "no prompts with this part are refused", http.StatusNotFound)
		}
	}).Methods(http.MethodDelete)
}
