// Package headscan counts the bytes and the fields of the head of an HTTP/1 request while it arrives, before net/http parses
// it. Use it to account for the memory that parsing takes: net/http allocates some hundred bytes for each field, however short.
package headscan

import "bytes"

const (
	// fieldCost and byteCost are the bytes that net/http keeps for a field and for a byte of a head: the entry of its map with the
	// free space of a map that has just grown, and the byte itself once in the buffer and once as a string.
	// TestTheCostCoversWhatParsingKeeps compares them with measured memory.
	fieldCost = 128
	byteCost  = 2
)

// Cost returns the memory in bytes that parsing a head of size bytes takes.
func Cost(size, fields int) int64 { return int64(fields)*fieldCost + int64(size)*byteCost }

// Scanner counts one head. The zero value is ready for use.
type Scanner struct {
	bytes  int
	lines  int
	filled bool // the current line has more than one carriage return
	cr     bool // the current line is one carriage return so far
	done   bool
}

// Scan counts the next bytes of the connection and returns how many of them belong to the head. After the end of the head it
// returns zero. The end is an empty line; net/http may end a malformed head earlier, so the count is never too low.
func (s *Scanner) Scan(b []byte) int {
	if s.done {
		return 0
	}
	length := len(b)
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			s.continueLine(b)
			s.bytes += len(b)
			return length
		}
		s.continueLine(b[:end])
		s.bytes += end + 1
		s.lines++
		b = b[end+1:]
		if !s.filled {
			s.done = true
			return length - len(b)
		}
		s.filled, s.cr = false, false
	}
	return length
}

// continueLine counts bytes of the current line, without its line feed.
func (s *Scanner) continueLine(b []byte) {
	if len(b) == 0 || s.filled {
		return
	}
	s.cr, s.filled = !s.cr && len(b) == 1 && b[0] == '\r', s.cr || len(b) > 1 || b[0] != '\r'
}

// Done reports whether the head has ended.
func (s *Scanner) Done() bool { return s.done }

// Bytes returns the bytes of the head that were counted.
func (s *Scanner) Bytes() int { return s.bytes }

// Fields returns the fields of the head that were counted: its lines without the request line and the empty line. A line that
// continues a field counts as a field, too.
func (s *Scanner) Fields() int {
	fields := s.lines - 1
	if s.done {
		fields--
	}
	return max(fields, 0)
}

// Cost returns the memory in bytes that parsing what was counted takes.
func (s *Scanner) Cost() int64 { return Cost(s.bytes, s.Fields()) }
