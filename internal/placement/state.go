package placement

// plan is the state of the servers and models after applying the proposals made so far.
type plan struct {
	servers         []*serverState
	models          []*modelState
	byName          map[string]*modelState
	dataCentres     int // number of data centres with a usable server
	weightsFraction float64
	loads           int
	adapterLoads    int
	proposals       []Proposal
}

type copyState int

const (
	resident copyState = iota + 1
	loading
	unloading
)

type serverState struct {
	Server
	spareMB   int64                // mebibytes free after the loads in progress
	freeingMB int64                // mebibytes that unloads in progress will free
	claimedMB int64                // mebibytes set aside for needs that wait for unloads
	models    map[string]copyState // state of each copy that takes memory
	resident  map[string]bool      // models that can be served and are not being unloaded
	nearby    map[string]bool      // base models that load without the weight store

	evictionCandidates []evictionCandidate
	candidatesValid    bool // evictionCandidates is up to date
}

func (s *serverState) holds(model string) bool { return s.models[model] != 0 }

// availableMB returns the free memory that is not claimed.
func (s *serverState) availableMB() int64 { return s.spareMB - s.claimedMB }

// claim sets memory aside for a later load, first from the memory that unloads in progress will free.
func (s *serverState) claim(memoryMB int64) {
	fromFreeing := min(s.freeingMB, memoryMB)
	s.freeingMB -= fromFreeing
	s.claimedMB += memoryMB - fromFreeing
}

type modelState struct {
	Model
	residentCopies       int // copies on usable servers that can be served and are not being unloaded
	loadingCopies        int // copies on usable servers that are loading
	copiesByDataCentre   map[string]int
	residentByDataCentre map[string]int // resident copies, without zero counts
	holders              []*serverState // servers that hold the model, or held it when the plan began
}

func (m *modelState) copies() int { return m.residentCopies + m.loadingCopies }

// dataCentreCount returns the number of data centres with a copy.
func (m *modelState) dataCentreCount() int { return len(m.copiesByDataCentre) }

func (m *modelState) addLoading(dataCentre string) {
	m.loadingCopies++
	m.copiesByDataCentre[dataCentre]++
}

func (m *modelState) removeResident(dataCentre string) {
	m.residentCopies--
	decrement(m.copiesByDataCentre, dataCentre)
	decrement(m.residentByDataCentre, dataCentre)
}

func decrement(counts map[string]int, key string) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

func newPlan(in Input) *plan {
	p := &plan{byName: make(map[string]*modelState, len(in.Models)), loads: in.LoadBudget, adapterLoads: in.AdapterLoadBudget}
	p.weightsFraction = in.MaxWeightsFraction
	for _, m := range in.Models {
		state := &modelState{Model: m, copiesByDataCentre: make(map[string]int), residentByDataCentre: make(map[string]int)}
		p.models = append(p.models, state)
		p.byName[m.Name] = state
	}
	dataCentreNames := make(map[string]bool)
	for _, s := range in.Servers {
		p.servers = append(p.servers, p.addServer(s))
		if s.Usable && !s.AcceptsNoOrders {
			dataCentreNames[s.DataCentre] = true
		}
	}
	p.dataCentres = len(dataCentreNames)
	if in.OneDataCentre {
		p.dataCentres = min(p.dataCentres, 1)
	}
	return p
}

func (p *plan) addServer(s Server) *serverState {
	state := &serverState{
		Server: s, models: make(map[string]copyState, len(s.Resident)+len(s.Loading)),
		resident: make(map[string]bool, len(s.Resident)),
	}
	for _, name := range s.Resident {
		state.models[name] = resident
		state.resident[name] = true
	}
	if len(s.Nearby) > 0 {
		state.nearby = make(map[string]bool, len(s.Nearby))
		for _, name := range s.Nearby {
			state.nearby[name] = true
		}
	}
	for _, name := range s.Loading {
		if !state.holds(name) {
			state.models[name] = loading
		}
	}
	for _, name := range s.Unloading {
		if state.resident[name] {
			state.models[name] = unloading
			delete(state.resident, name)
		}
	}
	p.countMemory(state)
	if s.Usable {
		p.countCopies(state)
	}
	return state
}

// countMemory sets the free memory of a server to the smaller of two figures: the free memory in its report less the
// loads that the report may not include yet, and the memory available for weights less the weights held.
func (p *plan) countMemory(s *serverState) {
	weightsMB, loadingMB := int64(0), int64(0)
	for name, state := range s.models {
		m := p.byName[name]
		if m == nil {
			continue
		}
		m.holders = append(m.holders, s)
		weightsMB += m.MemoryMB
		switch state {
		case loading:
			loadingMB += m.MemoryMB
		case unloading:
			s.freeingMB += m.MemoryMB
		}
	}
	s.spareMB = min(int64(float64(s.MemoryMB)*p.weightsFraction)-weightsMB, s.FreeMB-loadingMB)
}

func (p *plan) countCopies(s *serverState) {
	for name, state := range s.models {
		m := p.byName[name]
		if m == nil || state == unloading {
			continue
		}
		m.copiesByDataCentre[s.DataCentre]++
		if state == loading {
			m.loadingCopies++
			continue
		}
		m.residentCopies++
		m.residentByDataCentre[s.DataCentre]++
	}
}
