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
	// serverTable is the store's table with the list of backend servers.
	serverTable = "servers"
	// HeartbeatInterval is the interval at which emulated backend servers renew their entries in the server list.
	HeartbeatInterval = 300 * time.Millisecond
	// entryTTL is the time after its last renewal at which the store removes an entry: three heartbeats.
	entryTTL = 3 * HeartbeatInterval
	// expiryCheckInterval is the pause between two checks for expired entries.
	expiryCheckInterval = 100 * time.Millisecond
)

// ExpireEntries removes the entries of backend servers that were not renewed for three heartbeats. It returns when ctx is
// done.
func (s *Store) ExpireEntries(ctx context.Context) {
	type renewal struct {
		version int64
		at      time.Time
	}
	renewals := make(map[string]renewal)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(expiryCheckInterval):
		}
		var expired []string
		s.mu.Lock()
		for k, r := range s.rows {
			if k.table != serverTable {
				continue
			}
			if last := renewals[k.key]; last.version != r.Version {
				renewals[k.key] = renewal{r.Version, time.Now()}
			} else if time.Since(last.at) > entryTTL {
				expired = append(expired, k.key)
			}
		}
		s.mu.Unlock()
		for _, id := range expired {
			s.Remove(serverTable, id)
			delete(renewals, id)
		}
	}
}

// RenewEntry writes the backend server's entry to the store at storeAddress (IP:port) once per HeartbeatInterval. A failed
// write is ignored and repeated at the next heartbeat. It returns ctx.Err() when ctx is done.
func (r *Replica) RenewEntry(ctx context.Context, storeAddress string) error {
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
			_ = resp.Body.Close() // the status is ignored: the next renewal writes the whole entry again
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(HeartbeatInterval):
		}
	}
}
