package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// maxCopiesAttempts bounds the read-and-write attempts for a copies row, which other sidecars change too.
const maxCopiesAttempts = 5

// Copy is one sidecar whose engine holds a model in memory.
type Copy struct {
	Address    string `json:"address"` // of the sidecar, IP:port
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
}

// CopiesRow is the JSON value of the table row copies/MODEL, which lists the resident copies of a model.
type CopiesRow struct {
	Copies []Copy `json:"copies"`
}

// CopiesKey returns the key of a model's copies row.
func CopiesKey(model string) tablestore.Key { return tablestore.Key{Partition: "copies", Sort: model} }

func ownCopy(o Options) Copy {
	return Copy{Address: o.Address, Host: o.Settings.Process.Host, DataCentre: o.Settings.Process.DataCentre}
}

// copyRegistry adds and removes this sidecar in the copies rows of models.
type copyRegistry struct {
	store      tablestore.Store
	timeout    time.Duration
	self       Copy
	peerServes func(ctx context.Context, address, model string) bool // nil trusts the row
}

func (c *copyRegistry) add(ctx context.Context, model string) error {
	return c.change(ctx, model, func(row *CopiesRow) (bool, error) {
		if slices.Contains(row.Copies, c.self) {
			return false, nil
		}
		row.Copies = append(c.withoutSelf(row.Copies), c.self)
		return true, nil
	})
}

// remove removes this sidecar from the row, unless fewer than minRemaining other copies serve the model now. A row may
// name a sidecar that died, so each of them is asked.
func (c *copyRegistry) remove(ctx context.Context, model string, minRemaining int) error {
	return c.change(ctx, model, func(row *CopiesRow) (bool, error) {
		others := c.withoutSelf(row.Copies)
		if len(others) == len(row.Copies) && minRemaining == 0 {
			return false, nil
		}
		if n := c.countServing(ctx, model, others, minRemaining); n < minRemaining {
			return false, errkind.New(errkind.BadRequest, "%d other copies of model %q serve it, at least %d must remain",
				n, model, minRemaining)
		}
		row.Copies = others
		return true, nil
	})
}

// countServing counts the copies that serve the model now, up to minRemaining.
func (c *copyRegistry) countServing(ctx context.Context, model string, others []Copy, minRemaining int) int {
	if c.peerServes == nil {
		return len(others)
	}
	n := 0
	for _, other := range others {
		if n < minRemaining && c.peerServes(ctx, other.Address, model) {
			n++
		}
	}
	return n
}

func (c *copyRegistry) withoutSelf(all []Copy) []Copy {
	return slices.DeleteFunc(slices.Clone(all), func(other Copy) bool { return other.Address == c.self.Address })
}

// change reads the row, edits it and writes it on condition that its version is unchanged. If the answer to a write
// was lost, the next read shows whether the edit is still needed. The error has kind StoreUnavailable unless edit
// returned another.
func (c *copyRegistry) change(ctx context.Context, model string, edit func(*CopiesRow) (bool, error)) error {
	var err error
	for range maxCopiesAttempts {
		var retry bool
		if retry, err = c.tryChange(ctx, model, edit); !retry {
			break
		}
	}
	if err != nil && errkind.Of(err) == errkind.Internal {
		return errkind.Wrap(errkind.StoreUnavailable, err, "change the copies row of model %q", model)
	}
	return err
}

func (c *copyRegistry) tryChange(ctx context.Context, model string, edit func(*CopiesRow) (bool, error)) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	key := CopiesKey(model)
	stored, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, tablestore.ErrNotFound) {
		return false, fmt.Errorf("read copies row: %w", err)
	}
	var row CopiesRow
	if err == nil {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			return false, fmt.Errorf("decode copies row: %w", err)
		}
	}
	changed, err := edit(&row)
	if err != nil || !changed {
		return false, err
	}
	value, err := json.Marshal(row)
	if err != nil {
		return false, fmt.Errorf("encode copies row: %w", err)
	}
	err = c.store.Write(ctx, newID(), tablestore.Op{Key: key, IfVersion: stored.Version, Value: value})
	return err != nil && !errors.Is(err, tablestore.ErrUnavailable), err
}
