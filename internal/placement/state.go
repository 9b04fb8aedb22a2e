package placement

// plan is the state of the servers with the proposals made so far applied.
type plan struct {
	servers      []*serverState
	models       []*modelState
	byName       map[string]*modelState
	dataCentres  int // with a usable server
	weightsPart  float64
	loads        int
	adapterLoads int
	proposals    []Proposal
}

type copyState int

const (
	resident copyState = iota + 1
	loading
	unloading
)

type serverState struct {
	Server
	free     int64                // mebibytes, loads under way subtracted
	freeing  int64                // mebibytes that unloads under way will free
	claimed  int64                // mebibytes that are meant for needs that wait for unloads
	models   map[string]copyState // everything that takes memory
	resident map[string]bool      // models that can be served and stay
	nearby   map[string]bool      // base models that load without the weight store

	victims      []victim
	victimsKnown bool // victims is up to date
}

func (s *serverState) holds(model string) bool { return s.models[model] != 0 }

// available returns the free memory that is not claimed.
func (s *serverState) available() int64 { return s.free - s.claimed }

// claim sets memory aside, first from what unloads will free.
func (s *serverState) claim(memoryMB int64) {
	fromFreeing := min(s.freeing, memoryMB)
	s.freeing -= fromFreeing
	s.claimed += memoryMB - fromFreeing
}

type modelState struct {
	Model
	resident     int // usable copies that can be served and stay
	underWay     int // usable copies that load
	byDataCentre map[string]int
	residentIn   map[string]int // resident by data centre, without zeros
	at           []*serverState // that hold the model or held it when the plan began
}

func (m *modelState) copies() int { return m.resident + m.underWay }

// spread returns the number of data centres with a copy.
func (m *modelState) spread() int { return len(m.byDataCentre) }

func (m *modelState) add(dataCentre string) {
	m.underWay++
	m.byDataCentre[dataCentre]++
}

func (m *modelState) remove(dataCentre string) {
	m.resident--
	decrement(m.byDataCentre, dataCentre)
	decrement(m.residentIn, dataCentre)
}

func decrement(counts map[string]int, key string) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

func newPlan(in Input) *plan {
	p := &plan{byName: make(map[string]*modelState, len(in.Models)), loads: in.Loads, adapterLoads: in.AdapterLoads}
	p.weightsPart = in.WeightsPart
	for _, m := range in.Models {
		state := &modelState{Model: m, byDataCentre: make(map[string]int), residentIn: make(map[string]int)}
		p.models = append(p.models, state)
		p.byName[m.Name] = state
	}
	names := make(map[string]bool)
	for _, s := range in.Servers {
		p.servers = append(p.servers, p.addServer(s))
		if s.Usable && !s.Closed {
			names[s.DataCentre] = true
		}
	}
	p.dataCentres = len(names)
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

// countMemory sets the free memory to the smaller of what the server reports, less the loads that its
// report may not include yet, and what the weights leave.
func (p *plan) countMemory(s *serverState) {
	weights, underWay := int64(0), int64(0)
	for name, state := range s.models {
		m := p.byName[name]
		if m == nil {
			continue
		}
		m.at = append(m.at, s)
		weights += m.MemoryMB
		switch state {
		case loading:
			underWay += m.MemoryMB
		case unloading:
			s.freeing += m.MemoryMB
		}
	}
	s.free = min(int64(float64(s.MemoryMB)*p.weightsPart)-weights, s.FreeMB-underWay)
}

func (p *plan) countCopies(s *serverState) {
	for name, state := range s.models {
		m := p.byName[name]
		if m == nil || state == unloading {
			continue
		}
		m.byDataCentre[s.DataCentre]++
		if state == loading {
			m.underWay++
			continue
		}
		m.resident++
		m.residentIn[s.DataCentre]++
	}
}
