package fleetgateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
)

// endless returns the same text without end and counts the bytes read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(b []byte) (int, error) {
	n := copy(b, strings.Repeat(e.text, len(b)/len(e.text)+1))
	e.read += n
	return n, nil
}

// Guards against a server in trouble that sends a line, or an event, without end: it must not fill the memory.
func TestAnEventWithoutEndIsRefusedAfterABoundedSize(t *testing.T) {
	for name, text := range map[string]string{"one line": "j", "lines": "data: j\n", "comments": ": j\n"} {
		t.Run(name, func(t *testing.T) {
			e := &endless{text: text}
			if _, err := newEventReader(io.LimitReader(e, 64<<20), memorybudget.New(maxEventBytes*2).Lease(0)).next(); err == nil || errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("got %v, expected an error about the size", err)
			}
			if e.read > 2*maxEventBytes {
				t.Fatalf("%d bytes were read for an event of at most %d", e.read, maxEventBytes)
			}
		})
	}
}

func TestEventsKeepTheirBytes(t *testing.T) {
	long := "id: 7\r\ndata: " + strings.Repeat("x", 20_000) + "\r\n\r\n"
	events := newEventReader(strings.NewReader(long+": still here\n\nid: 8\ndata: y\n\n"), memorybudget.New(maxEventBytes*2).Lease(0))
	want := []event{
		{raw: []byte(long), id: "7", hasData: true}, {raw: []byte(": still here\n\n")},
		{raw: []byte("id: 8\ndata: y\n\n"), id: "8", hasData: true},
	}
	for _, w := range want {
		got, err := events.next()
		if err != nil || string(got.raw) != string(w.raw) || got.id != w.id || got.hasData != w.hasData {
			t.Fatalf("got %.60q, id %q, data %v, error %v", got.raw, got.id, got.hasData, err)
		}
	}
	if _, err := events.next(); err != io.EOF {
		t.Fatalf("got %v at the end, expected EOF", err)
	}
}

// Guards against servers in trouble whose events without end together take the gateway over its memory, and against bytes that
// stay counted after an attempt has failed.
func TestEventsWithoutEndStayWithinTheBudgetTogether(t *testing.T) {
	const bound = maxEventBytes
	budget := memorybudget.New(bound)
	var leases []*memorybudget.Lease
	for range 8 {
		lease := budget.Lease(shortEventBytes)
		leases = append(leases, lease)
		if _, err := newEventReader(io.LimitReader(&endless{text: "j"}, bound/4), lease).next(); err == nil {
			t.Fatal("an incomplete event was returned")
		}
		if budget.Held() > bound {
			t.Fatalf("%d bytes held, bound %d", budget.Held(), bound)
		}
	}
	reader := newEventReader(&endless{text: "j"}, budget.Lease(shortEventBytes))
	if _, err := reader.next(); !errors.Is(err, errNoMemory) {
		t.Fatalf("got %v, expected %v", err, errNoMemory)
	}
	if e, err := newEventReader(strings.NewReader("data: short\n\n"), budget.Lease(shortEventBytes)).next(); err != nil || !e.hasData {
		t.Fatalf("a short event beside them: %v", err)
	}
	for _, lease := range leases {
		lease.Release()
	}
	reader.lease.Release()
	if budget.Held() != 0 {
		t.Fatalf("%d bytes held at the end", budget.Held())
	}
}
