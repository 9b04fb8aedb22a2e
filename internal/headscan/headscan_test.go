package headscan

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
)

func headOf(fields, valueBytes int) []byte {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
	for i := range fields {
		b.WriteString("x" + strconv.FormatInt(int64(i), 36) + ":" + strings.Repeat("v", valueBytes) + "\r\n")
	}
	return []byte(b.String() + "\r\n")
}

// Guards against a charge for heads that is below what parsing them keeps in memory.
func TestTheCostCoversWhatParsingKeeps(t *testing.T) {
	const request = 16 << 10 // the reader's buffer and the request itself, the same for all heads
	for _, fields := range []int{10, 300, 1500, 18_000, 32_000} {
		for _, valueBytes := range []int{0, 1, 20, 200} {
			head := headOf(fields, valueBytes)
			var s Scanner
			s.Scan(head)
			before := heapInUse()
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
			if err != nil {
				t.Fatal(err)
			}
			if kept := heapInUse() - before; kept > s.Cost()+request {
				t.Errorf("%d fields of %d bytes: cost %d, kept %d", fields, valueBytes, s.Cost(), kept)
			}
			runtime.KeepAlive(r)
			runtime.KeepAlive(head)
		}
	}
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func parsedFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// Guards against a count that depends on how the bytes arrive, and against one below what net/http reads as a head.
func FuzzScan(f *testing.F) {
	f.Add(headOf(3, 2), 5)
	f.Add([]byte("GET / HTTP/1.1\nHost: a\n\nrest"), 1)
	f.Add([]byte("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n"), 7)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\r\n\r\n"), 2)
	f.Add([]byte("\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		piece = 1 + max(0, piece)%64
		var whole, pieces Scanner
		end := whole.Scan(data)
		total := 0
		for rest := data; len(rest) > 0; {
			n := min(piece, len(rest))
			total += pieces.Scan(rest[:n])
			rest = rest[n:]
		}
		if whole != pieces || end != total || end != whole.Bytes() || whole.Fields() > end {
			t.Fatalf("in one piece %+v, in pieces of %d %+v", whole, piece, pieces)
		}
		source := bytes.NewReader(data)
		buffered := bufio.NewReaderSize(source, 16)
		r, err := http.ReadRequest(buffered)
		if err != nil {
			return
		}
		read := len(data) - source.Len() - buffered.Buffered()
		if fields := parsedFields(r.Header); fields > whole.Fields() || r.ContentLength == 0 && read > end {
			t.Fatalf("net/http read %d bytes and %d fields, counted %s", read, fields, fmt.Sprint(end, " and ", whole.Fields()))
		}
	})
}
