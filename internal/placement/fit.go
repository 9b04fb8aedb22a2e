package placement

import (
	"container/heap"
	"maps"
	"slices"
)

// residentBonus is the factor by which an existing copy counts as more loaded than a missing one. It keeps the demand's noise
// from moving copies: a load takes seconds, in which neither copy serves.
const residentBonus = 1.4

// FitCopies returns the models with the numbers of copies that the usable servers can hold together, for demand that
// requires more copies than there is room for. It gives the next copy to the model with the highest rate per copy until the
// room is used up, so that no model waits for a copy while another has more than its share. Without it, all copies that the
// demand requires are equally important, and a model whose demand has just grown cannot displace the copies of one that
// had more than its share before. Models whose demand fits, adapters, and minimum numbers of copies are not changed.
// Rates are compared between models as if a copy of each served the same rate.
func FitCopies(in Input) []Model {
	models := slices.Clone(in.Models)
	existing := existingCopies(in.Servers)
	room := int64(0)
	for _, s := range in.Servers {
		if s.Usable {
			room += s.MemoryMB
		}
	}
	room = int64(float64(room) * in.MaxWeightsFraction * packing(in))
	var queue copyQueue
	for i := range models {
		m := &models[i]
		if m.Base != "" || m.Dormant {
			continue
		}
		room -= m.MemoryMB * int64(max(1, m.MinCopies))
		if m.Copies > max(1, m.MinCopies) {
			queue = append(queue, &copyRequest{model: m, wanted: m.Copies, existing: existing[m.Name]})
			m.Copies = max(1, m.MinCopies)
		}
	}
	heap.Init(&queue)
	for len(queue) > 0 {
		next := queue[0]
		if room -= next.model.MemoryMB; room < 0 {
			break
		}
		if next.model.Copies++; next.model.Copies == next.wanted {
			heap.Pop(&queue)
		} else {
			heap.Fix(&queue, 0)
		}
	}
	return models
}

// existingCopies returns the copies of each model on usable servers that are resident or loading, and not unloading.
func existingCopies(servers []Server) map[string]int {
	counts := make(map[string]int)
	for _, s := range servers {
		if !s.Usable {
			continue
		}
		held := make(map[string]bool, len(s.Resident)+len(s.Loading))
		for _, name := range slices.Concat(s.Resident, s.Loading) {
			held[name] = true
		}
		for _, name := range s.Unloading {
			delete(held, name)
		}
		for name := range maps.Keys(held) {
			counts[name]++
		}
	}
	return counts
}

// packing returns the fraction of a server's memory that copies of the mean size fill. The sizes are weighted by the copies
// that the demand requires, because those compete for the room.
func packing(in Input) float64 {
	copies, bytes := 0.0, 0.0
	for _, m := range in.Models {
		if m.Base == "" && !m.Dormant {
			copies += float64(max(1, m.Copies))
			bytes += float64(max(1, m.Copies)) * float64(m.MemoryMB)
		}
	}
	servers, memory := 0.0, 0.0
	for _, s := range in.Servers {
		if s.Usable {
			servers++
			memory += float64(s.MemoryMB) * in.MaxWeightsFraction
		}
	}
	if copies == 0 || servers == 0 || bytes == 0 {
		return 1
	}
	size, each := bytes/copies, memory/servers
	whole := float64(int(each / size))
	if whole == 0 || each == 0 {
		return 1
	}
	return whole * size / each
}

// copyRequest is a model that requires more copies than it has been given.
type copyRequest struct {
	model    *Model // Copies counts those that it has been given
	wanted   int
	existing int
}

// load is the rate per copy that the next copy would relieve.
func (r *copyRequest) load() float64 {
	load := r.model.Rate / float64(max(1, r.model.Copies))
	if r.model.Copies < r.existing {
		load *= residentBonus
	}
	return load
}

// copyQueue is a heap of requests, the highest load first.
type copyQueue []*copyRequest

func (q copyQueue) Len() int { return len(q) }
func (q copyQueue) Less(i, j int) bool {
	a, b := q[i].load(), q[j].load()
	return a > b || a == b && q[i].model.Name < q[j].model.Name
}
func (q copyQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *copyQueue) Push(x any)   { *q = append(*q, x.(*copyRequest)) }
func (q *copyQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
