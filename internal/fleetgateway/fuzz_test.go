package fleetgateway

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
)

// readEvents returns the events of a stream and the error at its end.
func readEvents(r io.Reader) (events []event, err error) {
	reader := newEventReader(r, memorybudget.New(maxEventBytes*2).Lease(0))
	for {
		e, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

// FuzzEvents guards against events that are changed, joined or cut in the gateway, also if they arrive byte by byte.
func FuzzEvents(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, wholeErr := readEvents(bytes.NewReader(data))
		bytewise, err := readEvents(iotest.OneByteReader(bytes.NewReader(data)))
		if len(whole) != len(bytewise) || err.Error() != wholeErr.Error() {
			t.Fatalf("%d events and %v at once, %d and %v byte by byte", len(whole), wholeErr, len(bytewise), err)
		}
		rest := data
		for i, e := range whole {
			if !bytes.Equal(e.raw, bytewise[i].raw) || e.id != bytewise[i].id || e.hasData != bytewise[i].hasData {
				t.Fatalf("event %d differs: %q, byte by byte %q", i, e.raw, bytewise[i].raw)
			}
			at := bytes.Index(rest, e.raw)
			if at < 0 || len(bytes.TrimSpace(rest[:at])) > 0 || len(e.raw) > maxEventBytes || !bytes.HasSuffix(e.raw, []byte("\n")) {
				t.Fatalf("event %d is not the next one in the stream: %q", i, e.raw)
			}
			rest = rest[at+len(e.raw):]
			if next := whole[min(i+1, len(whole)-1)]; e.id != next.id && eventIDAfter(e.id, next.id) && eventIDAfter(next.id, e.id) &&
				e.id != "" && next.id != "" && decimal(e.id) && decimal(next.id) {
				t.Fatalf("%q and %q follow each other", e.id, next.id)
			}
		}
		if wholeErr == io.EOF && len(bytes.TrimSpace(rest)) > 0 {
			t.Fatalf("the stream counts as complete, not read: %q", rest)
		}
	})
}

// decimal reports whether s consists of at most 18 digits.
func decimal(s string) bool { return len(s) <= 18 && len(bytes.Trim([]byte(s), "0123456789")) == 0 }
