package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["manifest"] = playManifest }

// playManifest checks that a manifest is in force after the store has come back from a copy: a later version moves a route to another
// service, withdraws a key and adds one.
func playManifest(s *system, trouble bool) (int, error) {
	routes := func(service string, more ...object) []object {
		return append([]object{plainRoute("booking", "/book/", "unsafe", service, 1)}, more...)
	}
	services := []object{plainService("lantern-ledger"), plainService("lantern-ledger-2")}
	first := manifest(3, routes("lantern-ledger"), services, []object{tenant("crews", "key-kept", "key-old")})
	second := manifest(5, routes("lantern-ledger", plainRoute("added", "/added/", "safe", "lantern-ledger", 2)), services,
		[]object{tenant("crews", "key-kept", "key-old")})
	third := manifest(8, routes("lantern-ledger-2"), services, []object{tenant("crews", "key-kept", "key-new")})
	s.store.put("op", "config", first)
	for i := range 6 {
		r := &replica{id: "i-" + strings.Repeat(string(rune('a'+i)), 8), service: "lantern-ledger", zone: zoneOf(i), slots: 6, work: 20 * time.Millisecond}
		if i >= 3 {
			r.service = "lantern-ledger-2"
		}
		if err := s.addReplica(r, "3."+string(rune('1'+i))); err != nil {
			return 0, err
		}
	}
	if err := s.addGateways(3); err != nil {
		return 0, err
	}
	if err := s.waitReady(); err != nil {
		return 0, err
	}
	time.Sleep(contactBound)
	earlier := s.store.copyContents()
	s.record.add("the copy is taken at store version %d", earlier.version)
	taken := time.Now()
	time.Sleep(copyAge - awayTime - 800*time.Millisecond)
	s.record.add("operator: manifest 5 written, store version %d", s.store.put("op", "config", second))
	time.Sleep(time.Until(taken.Add(copyAge - awayTime)))
	if trouble {
		s.drill(earlier, second)
	}
	time.Sleep(contactBound + 1500*time.Millisecond) // the store is stable again
	v := s.store.put("op", "config", third)
	confirmed := time.Now()
	s.record.say("operator: manifest 8 written, store version %d: /book/ goes to lantern-ledger-2, key-old is withdrawn, key-new added", v)
	time.Sleep(configBound)

	var mu sync.Mutex
	var all []*sent
	var wg sync.WaitGroup
	for _, g := range s.gateways {
		for _, key := range []string{"key-kept", "key-old", "key-new"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := newClient(s.record, host)
				defer c.close()
				for time.Since(confirmed) < 20*time.Second {
					q := c.ask(g.front, http.MethodPost, "/book/2f", key, 4*time.Second, "", "lantern")
					mu.Lock()
					all = append(all, q)
					mu.Unlock()
					time.Sleep(250 * time.Millisecond)
				}
			}()
		}
	}
	wg.Wait()
	runs := s.runs()
	var dropped, old, refused, served int
	for _, q := range all {
		for _, a := range runs[q.id] {
			switch {
			case q.key == "key-old":
				dropped++
			case a.service == "lantern-ledger":
				old++
			default:
				served++
			}
		}
		if q.key == "key-new" && q.status == http.StatusUnauthorized {
			refused++
		}
	}
	s.record.say("from 2 to 20 s after the confirmation of manifest 8, of %d requests: %d run with the dropped key, %d run by the old service, %d with the key that is there refused with 401, %d run as the manifest says",
		len(all), dropped, old, refused, served)
	return dropped + old + refused, nil
}
