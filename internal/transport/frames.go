package transport

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	// exemptFrameBytes is the size up to which a frame needs no memory of the budget, so that large frames do not keep out those
	// of which the exchange between gateways and agents consists: updates, and rows of the store of up to 64 KiB.
	exemptFrameBytes = 128 << 10
	// frameWait bounds the wait for memory for a frame, and then for each further frameProgressBytes of it. Peers are in the same
	// network.
	frameWait          = 10 * time.Second
	frameProgressBytes = 256 << 10
	// bytesForWaiter is the part of the budget for which one frame may wait. While it waits, its session stays open, and yamux
	// keeps the unread bytes of all its streams, which the budget does not count.
	bytesForWaiter = 8 * streamWindowBytes
	// framePollInterval is the pause between two attempts to take the memory for a frame.
	framePollInterval = 5 * time.Millisecond
)

// errFrameMemory means that other frames held the memory for frames for too long.
var errFrameMemory = errors.New("no memory for the frame")

// frameMemory bounds the frames that arrive in the sessions of a server.
type frameMemory struct {
	budget   *memorybudget.Budget
	refusals *refusals.Recorder
	waiting  atomic.Int64 // frames that wait for the budget
}

// read reads one frame. A frame above exemptFrameBytes waits until the budget covers it. If too many wait, or the frame makes no
// progress, read calls abort, which ends the whole session: yamux keeps the unread bytes of its other streams as long as it is
// open.
func (m *frameMemory) read(conn net.Conn, abort func()) (*wirepb.Envelope, error) {
	lease := m.budget.Lease(exemptFrameBytes)
	defer lease.Release()
	r := &framesReader{conn: conn}
	defer r.stop()
	return wire.ReadCovered(r, func(size int) error {
		if !m.cover(lease, int64(size)) {
			m.refusals.Record("no_memory_for_frames", conn.RemoteAddr().String())
			abort()
			return errFrameMemory
		}
		r.begin(func() {
			m.refusals.Record("frame_stalled", conn.RemoteAddr().String())
			abort()
		})
		return nil
	})
}

// cover takes the memory for a frame of size bytes, and reports false if that is not possible.
func (m *frameMemory) cover(lease *memorybudget.Lease, size int64) bool {
	if lease.Exactly(size) {
		return true
	}
	defer m.waiting.Add(-1)
	if m.waiting.Add(1) > m.budget.Bound()/bytesForWaiter || size-exemptFrameBytes > m.budget.Bound() {
		return false
	}
	for deadline := time.Now().Add(frameWait); time.Now().Before(deadline); {
		time.Sleep(framePollInterval)
		if lease.Exactly(size) {
			return true
		}
	}
	return false
}

// framesReader reads from a stream, and calls a function if a frame that has begun makes no progress.
type framesReader struct {
	conn  net.Conn
	timer *time.Timer // nil while no frame has begun
	count int         // bytes since the timer was set
}

func (r *framesReader) begin(stalled func()) { r.timer = time.AfterFunc(frameWait, stalled) }

func (r *framesReader) stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// Read implements io.Reader.
func (r *framesReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if r.count += n; r.count >= frameProgressBytes && r.timer != nil {
		r.count = 0
		r.timer.Reset(frameWait)
	}
	return n, err
}
