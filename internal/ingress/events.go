package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// event is one event of a stream as the server sent it.
type event struct {
	raw []byte // ends with the empty line
	id  string // empty if the event has none
}

// eventReader splits a stream into events. An event that breaks off is not returned.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReaderSize(r, 4<<10)} }

// next returns the next whole event. It returns io.EOF at the end of a whole stream.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.reader.ReadBytes('\n')
		ev.raw = append(ev.raw, line...)
		switch {
		case err == io.EOF && len(bytes.TrimSpace(ev.raw)) == 0:
			return event{}, io.EOF
		case err == io.EOF:
			return event{}, fmt.Errorf("the stream ends within an event: %w", io.ErrUnexpectedEOF)
		case err != nil:
			return event{}, err
		case len(ev.raw) > maxEventBytes:
			return event{}, errors.New("an event is too long")
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(ev.raw)) == 0 {
				ev.raw = ev.raw[:0]
				continue
			}
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// after reports whether event id a follows b. IDs are numbers that increase.
func after(a, b string) bool {
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
