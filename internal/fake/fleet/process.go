package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// serverTable is the table of the server list.
	serverTable = "servers"
	// Heartbeat is the interval at which emulated servers renew their entries.
	Heartbeat = 300 * time.Millisecond
	// lapse is the silence after which the store drops an entry: three heartbeats.
	lapse = 3 * Heartbeat
	// lapseLook is the pause between two looks for silent servers.
	lapseLook = 100 * time.Millisecond
)

// RunLapse removes entries of servers that no longer renew them, until ctx ends.
func (s *Store) RunLapse(ctx context.Context) {
	type renewal struct {
		version int64
		at      time.Time
	}
	seen := make(map[string]renewal)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lapseLook):
		}
		var silent []string
		s.mu.Lock()
		for k, r := range s.rows {
			if k.table != serverTable {
				continue
			}
			if last := seen[k.key]; last.version != r.Version {
				seen[k.key] = renewal{r.Version, time.Now()}
			} else if time.Since(last.at) > lapse {
				silent = append(silent, k.key)
			}
		}
		s.mu.Unlock()
		for _, id := range silent {
			s.Remove(serverTable, id)
			delete(seen, id)
		}
	}
}

// List renews the entry of a server in the store at storeAddress until ctx ends.
func (r *Replica) List(ctx context.Context, storeAddress string) error {
	for {
		body, err := json.Marshal(map[string]any{"puts": []row{{Table: serverTable, Key: r.opts.ID, Value: r.Entry()}}})
		if err != nil {
			return fmt.Errorf("encode entry: %w", err)
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+storeAddress+"/control/rows", bytes.NewReader(body))
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close() // the next renewal tells as much
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(Heartbeat):
		}
	}
}
