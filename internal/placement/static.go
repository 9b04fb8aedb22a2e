package placement

import "slices"

// Static returns a baseline placement that ignores demand. It goes round-robin over the models and the servers and adds
// one copy of each model per round, until no server has room for another copy. The result maps server IDs to model names.
func Static(servers []Server, models []Model) map[string][]string {
	free := make([]int64, len(servers))
	for i, s := range servers {
		free[i] = s.MemoryMB
	}
	placed := make(map[string][]string, len(servers))
	next := 0
	for round := 0; round < len(servers); round++ {
		added := false
		for _, m := range models {
			for tried := range servers {
				i := (next + tried) % len(servers)
				if free[i] < m.MemoryMB || slices.Contains(placed[servers[i].ID], m.Name) {
					continue
				}
				free[i] -= m.MemoryMB
				placed[servers[i].ID] = append(placed[servers[i].ID], m.Name)
				next, added = i+1, true
				break
			}
		}
		if !added {
			break
		}
	}
	return placed
}
