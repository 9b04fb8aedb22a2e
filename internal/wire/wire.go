// Package wire reads and writes the frames that the processes of pomelowheel exchange: a big-endian
// 32-bit length followed by one protobuf Envelope.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// MaxFrameBytes bounds one frame, so that a broken peer cannot make a process allocate without limit.
const MaxFrameBytes = 8 << 20

const lengthBytes = 4

// Write writes one frame in a single call to w.Write.
func Write(w io.Writer, e *wirepb.Envelope) error {
	size := proto.Size(e)
	if size > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds the limit of %d bytes", size, MaxFrameBytes)
	}
	frame := make([]byte, lengthBytes, lengthBytes+size)
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

// Read reads one frame. It returns io.EOF if the stream ended before the first byte of a frame.
func Read(r io.Reader) (*wirepb.Envelope, error) {
	var header [lengthBytes]byte
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
