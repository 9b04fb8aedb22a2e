package peers

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// maxInlineRowBytes is the size of a value above which a row is offered instead of sent in an update. Updates must not
	// wait behind a large row, and a receiver needs only one of the copies that its providers have.
	maxInlineRowBytes = 8 << 10
	// maxUpdateRowBytes bounds the values of the rows in one update, so that a slow link carries it within sendTimeout.
	maxUpdateRowBytes = 64 << 10
	// chunkBytes is the size of a part of a large row. A transfer goes on as long as each chunk takes less than
	// chunkTimeout, so its duration is not bounded by the size of the row.
	chunkBytes   = 16 << 10
	chunkTimeout = 700 * time.Millisecond
	// maxRowBytes bounds the value of a row, compressed or not.
	maxRowBytes = 8 << 20
	// maxFetches bounds the rows that are being transferred. Only the operator's configuration is large.
	maxFetches = 256
)

var errRowUnknown = errors.New("the peer does not have the row")

// rowKey identifies a row.
type rowKey struct{ table, key string }

// rowFetch is the state of getting a large row that this gateway lacks. One transfer at a time runs for each row, so that the
// copies do not compete for a slow link.
type rowFetch struct {
	version   int64    // newest version offered, see rowversion
	providers []string // addresses of the peers that offer it and have not been tried, in the order of their offers
	running   bool
}

// compressedRow is the compressed value of the row that was last sent, because several peers request the same one.
type compressedRow struct {
	key     rowKey
	era     int64
	version int64
	data    []byte
}

// nextRows takes as many rows as fit into one update from the front of pending. Large rows become offers, if the receiver
// requests rows.
func nextRows(pending []*wirepb.StoreRow, receiverRequests bool) (rows []*wirepb.StoreRow, offers []*wirepb.RowOffer, rest []*wirepb.StoreRow) {
	size := 0
	for i, r := range pending {
		if receiverRequests && len(r.GetValue()) > maxInlineRowBytes {
			offers = append(offers, &wirepb.RowOffer{Table: r.GetTable(), Key: r.GetKey(), Version: r.GetVersion(), Era: r.GetEra()})
			continue
		}
		if size += len(r.GetValue()); size > maxUpdateRowBytes && len(rows) > 0 {
			return rows, offers, pending[i:]
		}
		rows = append(rows, r)
	}
	return rows, offers, nil
}

// receiveOffers starts transfers of the offered rows that this gateway lacks.
func (m *Mesh) receiveOffers(address string, offers []*wirepb.RowOffer) {
	for _, o := range offers {
		version, err := rowversion.Join(o.GetEra(), o.GetVersion())
		if err != nil {
			m.opts.Log.Warn("offer of a row ignored", "peer", address, "key", o.GetKey(), "error", err)
			continue
		}
		if m.opts.Source.HasRow(o.GetTable(), o.GetKey(), version) {
			continue
		}
		k := rowKey{o.GetTable(), o.GetKey()}
		m.mu.Lock()
		f := m.fetches[k]
		if f == nil {
			if len(m.fetches) >= maxFetches {
				m.mu.Unlock()
				m.opts.Log.Warn("offers of rows ignored: too many transfers", "peer", address, "key", o.GetKey())
				return
			}
			f = new(rowFetch)
			m.fetches[k] = f
		}
		if version > f.version {
			f.version, f.providers = version, nil
		}
		if version == f.version && !slices.Contains(f.providers, address) {
			f.providers = append(f.providers, address)
		}
		ctx := m.ctx
		start := !f.running && ctx != nil && !m.ended
		if start {
			f.running = true
			m.wg.Add(1)
		}
		m.mu.Unlock()
		if start {
			go func() {
				defer m.wg.Done()
				m.fetch(ctx, k)
			}()
		}
	}
}

// fetch gets a row from one provider after the other until this gateway has the newest version offered or no provider is
// left. A gateway that still lacks the row gets offers again when a peer notices that its rows differ.
func (m *Mesh) fetch(ctx context.Context, k rowKey) {
	for {
		address, version := m.nextProvider(k)
		if address == "" {
			return
		}
		if m.opts.Source.HasRow(k.table, k.key, version) {
			continue
		}
		start := time.Now()
		row, size, err := m.requestRow(ctx, address, k)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			m.opts.Log.Warn("row not received from peer", "peer", address, "key", k.key, "version", version, "bytes", size,
				"took", time.Since(start), "error", err)
			continue
		}
		m.opts.Log.Info("row received from peer", "peer", address, "key", k.key, "version", row.GetVersion(), "bytes", size,
			"took", time.Since(start))
		m.opts.Sink.ReceiveRow(row)
	}
}

// nextProvider removes and returns the next provider of a row and the version that it offered, or removes the fetch and returns an
// empty address.
func (m *Mesh) nextProvider(k rowKey) (address string, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.fetches[k]
	if len(f.providers) == 0 {
		delete(m.fetches, k)
		return "", 0
	}
	address, f.providers = f.providers[0], f.providers[1:]
	return address, f.version
}

// requestRow gets a row from a peer. size is the number of bytes received, compressed. It fails if the peer sends nothing for
// chunkTimeout.
func (m *Mesh) requestRow(ctx context.Context, address string, k rowKey) (row *wirepb.StoreRow, size int, err error) {
	open, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	stream, err := m.opts.Pool.Open(open, address)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	if err := stream.SetDeadline(time.Now().Add(chunkTimeout)); err != nil {
		return nil, 0, err
	}
	if err := stream.Send(wire.RowRequest(&wirepb.RowRequest{Table: k.table, Key: k.key})); err != nil {
		return nil, 0, err
	}
	var compressed bytes.Buffer
	for {
		frame, err := stream.Recv()
		if err != nil {
			return nil, compressed.Len(), err
		}
		chunk := frame.GetRowChunk()
		switch {
		case chunk == nil:
			return nil, compressed.Len(), errors.New("message is not a part of a row")
		case chunk.GetVersion() == 0:
			return nil, 0, errRowUnknown
		case compressed.Len()+len(chunk.GetData()) > maxRowBytes:
			return nil, compressed.Len(), fmt.Errorf("the row is longer than %d bytes", maxRowBytes)
		}
		compressed.Write(chunk.GetData())
		if chunk.GetLast() {
			size = compressed.Len()
			value, err := decompress(&compressed)
			return &wirepb.StoreRow{Table: k.table, Key: k.key, Value: value, Version: chunk.GetVersion(), Era: chunk.GetEra()}, size, err
		}
		if err := stream.SetReadDeadline(time.Now().Add(chunkTimeout)); err != nil {
			return nil, compressed.Len(), err
		}
	}
}

// sendRow answers a peer's request for a row.
func (m *Mesh) sendRow(stream *transport.Stream, request *wirepb.RowRequest) {
	k := rowKey{request.GetTable(), request.GetKey()}
	row := m.opts.Source.Row(k.table, k.key)
	var data []byte
	if row.GetDeleted() {
		row = nil // removals are sent in updates
	}
	if row != nil {
		var err error
		if data, err = m.compressed(k, row); err != nil {
			m.opts.Log.Error("row not compressed", "key", k.key, "version", row.GetVersion(), "error", err)
			row = nil
		}
	}
	for {
		part := data[:min(chunkBytes, len(data))]
		data = data[len(part):]
		chunk := &wirepb.RowChunk{Version: row.GetVersion(), Era: row.GetEra(), Data: part, Last: len(data) == 0}
		if err := stream.SetWriteDeadline(time.Now().Add(chunkTimeout)); err != nil {
			return
		}
		if err := stream.Send(wire.RowChunk(chunk)); err != nil {
			m.opts.Log.Info("row not sent to peer", "peer", stream.RemoteAddr().String(), "key", k.key, "bytes_left",
				len(data)+len(part), "error", err)
			return
		}
		if len(data) == 0 {
			return
		}
	}
}

// compressed returns the compressed value of a row.
func (m *Mesh) compressed(k rowKey, row *wirepb.StoreRow) ([]byte, error) {
	m.compressMu.Lock()
	defer m.compressMu.Unlock()
	if m.lastCompressed.key == k && m.lastCompressed.version == row.GetVersion() && m.lastCompressed.era == row.GetEra() {
		return m.lastCompressed.data, nil
	}
	var buffer bytes.Buffer
	w, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(row.GetValue()); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	m.lastCompressed = compressedRow{k, row.GetEra(), row.GetVersion(), buffer.Bytes()}
	return m.lastCompressed.data, nil
}

// decompress returns the value of a row. It fails if the checksum does not match or the value is longer than maxRowBytes.
func decompress(compressed io.Reader) ([]byte, error) {
	r, err := gzip.NewReader(compressed)
	if err != nil {
		return nil, err
	}
	value, err := io.ReadAll(io.LimitReader(r, maxRowBytes+1))
	if err != nil {
		return nil, err
	}
	if len(value) > maxRowBytes {
		return nil, fmt.Errorf("the row is longer than %d bytes", maxRowBytes)
	}
	return value, nil
}
