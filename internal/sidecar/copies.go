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

// copiesTries bounds the rounds of reading and writing a copies row that others change too.
const copiesTries = 5

// Copy is one resident copy of a model.
type Copy struct {
	Address    string `json:"address"` // of the sidecar, IP:port
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
}

// CopiesRow is the value of the row copies/MODEL.
type CopiesRow struct {
	Copies []Copy `json:"copies"`
}

// CopiesKey returns the key of a model's copies row.
func CopiesKey(model string) tablestore.Key { return tablestore.Key{Partition: "copies", Sort: model} }

func copyOf(o Options) Copy {
	return Copy{Address: o.Address, Host: o.Settings.Process.Host, DataCentre: o.Settings.Process.DataCentre}
}

// copies keeps this sidecar's entries in the copies rows.
type copies struct {
	store   tablestore.Store
	timeout time.Duration
	self    Copy
	serves  func(ctx context.Context, address, model string) bool // nil trusts the row
}

func (c *copies) add(ctx context.Context, model string) error {
	return c.change(ctx, model, func(row *CopiesRow) (bool, error) {
		if slices.Contains(row.Copies, c.self) {
			return false, nil
		}
		row.Copies = append(c.without(row.Copies), c.self)
		return true, nil
	})
}

// remove removes this sidecar, unless fewer than least copies would be left that serve the model now. A row
// may name a sidecar that died, so each of them is asked.
func (c *copies) remove(ctx context.Context, model string, least int) error {
	return c.change(ctx, model, func(row *CopiesRow) (bool, error) {
		rest := c.without(row.Copies)
		if len(rest) == len(row.Copies) && least == 0 {
			return false, nil
		}
		if n := c.serving(ctx, model, rest, least); n < least {
			return false, errkind.New(errkind.BadRequest, "%d other copies of model %q serve it, at least %d must stay", n, model, least)
		}
		row.Copies = rest
		return true, nil
	})
}

// serving counts the copies that serve the model now, up to least.
func (c *copies) serving(ctx context.Context, model string, rest []Copy, least int) int {
	if c.serves == nil {
		return len(rest)
	}
	n := 0
	for _, other := range rest {
		if n < least && c.serves(ctx, other.Address, model) {
			n++
		}
	}
	return n
}

func (c *copies) without(all []Copy) []Copy {
	return slices.DeleteFunc(slices.Clone(all), func(other Copy) bool { return other.Address == c.self.Address })
}

// change reads the row, edits it and writes it under its version. After a lost answer, reading shows
// whether the edit is still needed. The error has kind StoreUnavailable unless edit set another.
func (c *copies) change(ctx context.Context, model string, edit func(*CopiesRow) (bool, error)) error {
	var err error
	for range copiesTries {
		var again bool
		if again, err = c.try(ctx, model, edit); !again {
			break
		}
	}
	if err != nil && errkind.Of(err) == errkind.Internal {
		return errkind.Wrap(errkind.StoreUnavailable, err, "change the copies of model %q", model)
	}
	return err
}

func (c *copies) try(ctx context.Context, model string, edit func(*CopiesRow) (bool, error)) (again bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	key := CopiesKey(model)
	stored, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, tablestore.ErrNotFound) {
		return false, fmt.Errorf("read copies: %w", err)
	}
	var row CopiesRow
	if err == nil {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			return false, fmt.Errorf("decode copies: %w", err)
		}
	}
	changed, err := edit(&row)
	if err != nil || !changed {
		return false, err
	}
	value, err := json.Marshal(row)
	if err != nil {
		return false, fmt.Errorf("encode copies: %w", err)
	}
	err = c.store.Write(ctx, newID(), tablestore.Op{Key: key, IfVersion: stored.Version, Value: value})
	return err != nil && !errors.Is(err, tablestore.ErrUnavailable), err
}
