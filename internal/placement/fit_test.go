package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// fullFleet returns servers with room for two copies each, all held by the model "steady" but one of "rising".
func fullFleet(servers int) Input {
	in := Input{MaxWeightsFraction: 1, OneDataCentre: true, LoadBudget: 3}
	for i := range servers {
		s := Server{ID: fmt.Sprint("s", i), DataCentre: "d", MemoryMB: 200, FreeMB: 60, Usable: true, Resident: []string{"steady", "idle"}}
		if i == 0 {
			s.Resident[1] = "rising"
		}
		in.Servers = append(in.Servers, s)
	}
	in.Models = []Model{
		{Name: "idle", MemoryMB: 70, MinCopies: 1, Copies: 2, Rate: 100},
		{Name: "rising", MemoryMB: 70, MinCopies: 1, Copies: 30, Rate: 9000},
		{Name: "steady", MemoryMB: 70, MinCopies: 1, Copies: 30, Rate: 9000},
	}
	return in
}

// Guards against a model whose demand has grown and that gets no copies because the fleet is full of copies that another
// model's demand requires, too.
func TestARisingModelDisplacesTheCopiesOfOneWithMoreThanItsShare(t *testing.T) {
	unloads := func(in Input) int {
		n := 0
		for _, p := range Plan(in) {
			if p.Action == Unload && p.Model == "steady" && p.For == "rising" {
				n++
			}
		}
		return n
	}
	in := fullFleet(10)
	for i := range in.Servers {
		in.Servers[i].Resident = []string{"steady", "other"}
		if i == 0 {
			in.Servers[i].Resident[1] = "rising"
		}
	}
	in.Models = append(in.Models, Model{Name: "other", MemoryMB: 70, MinCopies: 1, Copies: 30, Rate: 9000})
	if n := unloads(in); n != 0 {
		t.Fatalf("%d copies displaced without FitCopies, expected none, as all are required", n)
	}
	in.Models = FitCopies(in)
	displaced := 0
	for _, p := range Plan(in) {
		if p.Action == Unload && p.For == "rising" {
			displaced++
		}
	}
	if displaced == 0 {
		t.Fatalf("no copy displaced for the rising model; copies: %+v", in.Models)
	}
}

// Guards against numbers of copies that do not fit together, fall below the minimum or exceed what the demand requires, and
// against changes where the demand fits.
func TestFitCopiesKeepsTheRoomAndTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := crowdedInput(rapid.Uint64().Draw(t, "seed"))
		usable, sum := int64(0), int64(0)
		for _, s := range in.Servers {
			if s.Usable {
				usable += s.MemoryMB
			}
		}
		fitted := FitCopies(in)
		reduced := false
		for i, m := range fitted {
			before := in.Models[i]
			if m.Copies > before.Copies && m.Copies > max(1, before.MinCopies) {
				t.Fatalf("%s: %d copies, %d required", m.Name, m.Copies, before.Copies)
			}
			if m.Copies < min(before.Copies, max(1, before.MinCopies)) {
				t.Fatalf("%s: %d copies, at least %d required", m.Name, m.Copies, before.MinCopies)
			}
			reduced = reduced || m.Copies < before.Copies
			if m.Base == "" {
				sum += m.MemoryMB * int64(max(m.Copies, 1))
			}
		}
		minimum := int64(0)
		for _, m := range in.Models {
			if m.Base == "" {
				minimum += m.MemoryMB * int64(max(1, m.MinCopies))
			}
		}
		if reduced && sum > max(usable, minimum) {
			t.Fatalf("copies of %d MB for %d MB", sum, usable)
		}
	})
}

// Guards against copies that move back and forth because the demand of two models differs a little from one plan to the next.
func TestSmallDifferencesOfDemandMoveNoCopies(t *testing.T) {
	in := fullFleet(10)
	for i := range in.Servers {
		in.Servers[i].Resident = []string{"steady", "rising"}
	}
	for _, rate := range []float64{8000, 9000, 10_000} {
		in.Models[1].Rate = rate
		for _, m := range FitCopies(in)[1:] {
			if m.Copies < 9 {
				t.Errorf("rate %.0f: %s gets %d of the 10 copies that it has", rate, m.Name, m.Copies)
			}
		}
	}
}
