package peers

import (
	"context"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// ProviderScore is exported for the tests.
var ProviderScore = providerScore

// MaxRowBytes is exported for the tests.
const MaxRowBytes = maxRowBytes

// RequestRow gets the operator's configuration from the gateway at address.
func (m *Mesh) RequestRow(ctx context.Context, address string) (*wirepb.StoreRow, error) {
	row, _, err := m.requestRow(ctx, address, rowKey{"op", "config"})
	return row, err
}
