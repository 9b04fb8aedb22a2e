package responsecheck_test

import (
	"bufio"
	"bytes"
	"maps"
	"net/http"
	"slices"
	"testing"

	"golang.org/x/net/http/httpguts"

	"github.com/pomelowheel/pomelowheel/internal/fake/rawserver"
	"github.com/pomelowheel/pomelowheel/internal/responsecheck"
)

// scan checks data in parts of the given size. It returns the length of the head and whether that ended.
func scan(data []byte, size int) (length int, done bool, err error) {
	var head responsecheck.Head
	for len(data) > 0 && !head.Done() {
		n, err := head.Scan(data[:min(size, len(data))])
		length += n
		if err != nil {
			return length, false, err
		}
		data = data[n:]
	}
	return length, head.Done(), nil
}

// Guards against a check that depends on how the bytes arrive.
func TestMalformedHeadsAreRefused(t *testing.T) {
	for name, text := range rawserver.MalformedHeads("X-A: b\r\n") {
		if name == "status 000 after an interim response" {
			continue // the first of two heads is sound
		}
		for _, size := range []int{1, 2, len(text)} {
			if _, _, err := scan([]byte(text), size); err == nil {
				t.Errorf("%s in parts of %d bytes: no error", name, size)
			}
		}
	}
}

// Guards against sound heads that are refused.
func TestSoundHeadsPass(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
		"HTTP/1.1 599\r\n\r\n",
		"HTTP/1.0  404  Not Found\nA!#$%&'*+-.^_`|~9: \x80 b:c\t\n\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
	} {
		for _, size := range []int{1, 2, len(text)} {
			length, done, err := scan([]byte(text+"body"), size)
			if err != nil || !done || length != len(text) {
				t.Errorf("%q in parts of %d bytes: length %d, done %v, %v", text, size, length, done, err)
			}
		}
	}
}

// FuzzHead guards against a head that net/http reads differently.
func FuzzHead(f *testing.F) {
	for _, text := range rawserver.MalformedHeads("X-A: b\r\n") {
		f.Add([]byte(text))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		length, done, err := scan(data, len(data)+1)
		input := bytes.NewReader(data)
		reader := bufio.NewReader(input)
		response, parseErr := http.ReadResponse(reader, nil)
		switch {
		case parseErr != nil:
			return
		case err == nil && !responsecheck.ValidStatus(response.StatusCode):
			t.Fatalf("status %d passes", response.StatusCode)
		case err == nil && slices.ContainsFunc(slices.Collect(maps.Keys(response.Header)), func(name string) bool {
			return !httpguts.ValidHeaderFieldName(name)
		}):
			t.Fatalf("fields %q pass", response.Header)
		case err == nil && !done:
			t.Fatal("net/http sees an end of the head")
		case err == nil && length != len(data)-input.Len()-reader.Buffered():
			t.Fatalf("net/http reads a head of %d bytes, not of %d", len(data)-input.Len()-reader.Buffered(), length)
		}
	})
}
