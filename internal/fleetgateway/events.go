package fleetgateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
)

// shortEventBytes is the size up to which an event is not counted.
const shortEventBytes = 16 << 10

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// event is one server-sent event, as the server sent it.
type event struct {
	raw     []byte // includes the empty line at the end
	id      string // empty if the event has none
	hasData bool   // false for an event of comments only, which shows no progress of the request
}

// eventReader splits a stream into events. It does not return an incomplete event.
type eventReader struct {
	reader *bufio.Reader
	lease  *memorybudget.Lease // covers the event that is being read
}

func newEventReader(r io.Reader, lease *memorybudget.Lease) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, 4<<10), lease}
}

// next returns the next complete event. It returns io.EOF at the end of the stream, and an error that wraps
// io.ErrUnexpectedEOF if the stream ends within an event, or errNoMemory if the budget does not cover it.
func (e *eventReader) next() (event, error) {
	e.lease.Release()
	var ev event
	lineStart := 0 // of the current line in ev.raw
	for {
		part, err := e.reader.ReadSlice('\n')
		if !e.lease.Cover(int64(len(ev.raw) + len(part))) {
			return event{}, fmt.Errorf("%w of an event that has %d bytes", errNoMemory, len(ev.raw))
		}
		ev.raw = append(ev.raw, part...)
		switch {
		case len(ev.raw) > maxEventBytes:
			return event{}, errors.New("an event exceeds the size limit")
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the line is longer than the buffer
		case err == io.EOF && len(bytes.TrimSpace(ev.raw)) == 0:
			return event{}, io.EOF
		case err == io.EOF:
			return event{}, fmt.Errorf("the stream ends within an event: %w", io.ErrUnexpectedEOF)
		case err != nil:
			return event{}, err
		}
		line := bytes.TrimRight(ev.raw[lineStart:], "\r\n")
		lineStart = len(ev.raw)
		if len(line) == 0 {
			if len(bytes.TrimSpace(ev.raw)) == 0 {
				ev.raw, lineStart = ev.raw[:0], 0
				continue
			}
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
		ev.hasData = ev.hasData || bytes.HasPrefix(line, []byte("data:"))
	}
}

// eventIDAfter reports whether event ID a follows b. IDs are increasing numbers.
func eventIDAfter(a, b string) bool {
	if b == "" {
		return true
	}
	x, errX := strconv.ParseInt(a, 10, 64)
	y, errY := strconv.ParseInt(b, 10, 64)
	if errX != nil || errY != nil {
		return a != b
	}
	return x > y
}
