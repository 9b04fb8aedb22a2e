// Package wire reads and writes the frames that the processes of pomelowheel exchange: a big-endian 32-bit length in
// bytes followed by one protobuf Envelope. Use Write and Read on a stream of package transport, and TrimStatus and
// CompleteStatus to leave out the parts of a sidecar's status that the receiver already has.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// MaxFrameBytes is the maximum size of an encoded Envelope, without the length prefix. It keeps a faulty peer from making
// a process allocate without limit.
const MaxFrameBytes = 8 << 20

const lengthPrefixBytes = 4

// Write writes one frame in a single call to w.Write. It fails without writing if the frame exceeds MaxFrameBytes.
func Write(w io.Writer, e *wirepb.Envelope) error {
	size := proto.Size(e)
	if size > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds the limit of %d bytes", size, MaxFrameBytes)
	}
	frame := make([]byte, lengthPrefixBytes, lengthPrefixBytes+size)
	binary.BigEndian.PutUint32(frame, uint32(size))
	frame, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, e)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if _, err := w.Write(frame); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// Read reads one frame. It returns io.EOF if the stream ended before the first byte of a frame, and another error for a
// truncated, oversized or malformed frame.
func Read(r io.Reader) (*wirepb.Envelope, error) {
	return ReadCovered(r, func(int) error { return nil })
}

// ReadCovered is Read for a reader that accounts for memory: cover is called with the size of the frame in bytes before anything
// else of it is read, and an error of it is returned.
func ReadCovered(r io.Reader, cover func(size int) error) (*wirepb.Envelope, error) {
	var header [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("read frame length: %w", err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes exceeds the limit of %d bytes", size, MaxFrameBytes)
	}
	if err := cover(int(size)); err != nil {
		return nil, fmt.Errorf("frame of %d bytes: %w", size, err)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("read frame body: %w", err)
	}
	e := new(wirepb.Envelope)
	if err := proto.Unmarshal(body, e); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return e, nil
}
