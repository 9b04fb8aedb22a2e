package fleetgateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// event is one server-sent event, as the server sent it.
type event struct {
	raw     []byte // includes the empty line at the end
	id      string // empty if the event has none
	hasData bool   // false for an event of comments only, which shows no progress of the request
}

// eventReader splits a stream into events. It does not return an incomplete event.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReaderSize(r, 4<<10)} }

// next returns the next complete event. It returns io.EOF at the end of the stream, and an error that wraps
// io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (event, error) {
	var ev event
	lineStart := 0 // of the current line in ev.raw
	for {
		part, err := e.reader.ReadSlice('\n')
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
