package responsecheck

import (
	"errors"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

var (
	// ErrStatus means that a response has a status outside of the range that RFC 9110, section 15, defines.
	ErrStatus = errors.New("the status of the response is not between 100 and 599")
	// ErrFieldName means that the name of a field holds a byte that RFC 9110, section 5.6.2, does not allow, or is missing. A line that
	// begins with white space has such a name, too: net/http would join it to the line before (RFC 9112, section 5.2, lets a gateway
	// refuse it).
	ErrFieldName = errors.New("the name of a field of the response is malformed")
)

const (
	minStatus    = http.StatusContinue
	maxStatus    = 599
	statusDigits = 3
)

// ValidStatus reports whether a response may have the status.
func ValidStatus(status int) bool { return minStatus <= status && status <= maxStatus }

// part is a part of a head.
type part int

const (
	version   part = iota // of the protocol
	blanks                // before the status
	code                  // the status
	rest                  // of a line that needs no further check
	lineBegin             // of a field or of the empty line
	name                  // of a field, after its first byte
	lastLine              // after the carriage return of the empty line
	ended
)

// Head checks the head of a response as it arrives. The zero value is ready for use. It refuses what net/http would accept: a status that
// does not exist, and malformed names of fields. What net/http refuses on its own may pass.
type Head struct {
	part   part
	digits int
	status int
}

// Done reports whether the head has ended.
func (h *Head) Done() bool { return h.part == ended }

// Interim reports whether another head follows that of this response.
func (h *Head) Interim() bool {
	return h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
}

// Scan checks the next bytes of the connection and returns how many of them belong to the head. If the next one after them makes the
// response malformed, it returns an error, too.
func (h *Head) Scan(b []byte) (int, error) {
	for i, c := range b {
		if h.part == ended {
			return i, nil
		}
		if err := h.next(c); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

func (h *Head) next(c byte) error {
	if c == '\n' {
		return h.endLine()
	}
	switch h.part {
	case version:
		if c == ' ' {
			h.part = blanks
		}
	case blanks:
		if c != ' ' {
			return h.nextOfStatus(c)
		}
	case code:
		return h.nextOfStatus(c)
	case lineBegin:
		if c != '\r' {
			return h.nextOfName(c)
		}
		h.part = lastLine
	case name:
		if c != ':' {
			return h.nextOfName(c)
		}
		h.part = rest
	case lastLine:
		return ErrFieldName
	}
	return nil
}

// endLine ends the status line, a field, or the head.
func (h *Head) endLine() error {
	switch h.part {
	case version, blanks, code:
		if err := h.checkStatus(); err != nil {
			return err
		}
		h.part = lineBegin
	case name:
		return ErrFieldName
	case rest:
		h.part = lineBegin
	case lineBegin, lastLine:
		h.part = ended
	}
	return nil
}

func (h *Head) nextOfStatus(c byte) error {
	h.part = code
	if c == ' ' || c == '\r' {
		h.part = rest
		return h.checkStatus()
	}
	if c < '0' || c > '9' || h.digits == statusDigits {
		return ErrStatus
	}
	h.digits++
	h.status = 10*h.status + int(c-'0')
	return nil
}

func (h *Head) nextOfName(c byte) error {
	if !httpguts.IsTokenRune(rune(c)) {
		return ErrFieldName
	}
	h.part = name
	return nil
}

func (h *Head) checkStatus() error {
	if h.digits != statusDigits || !ValidStatus(h.status) {
		return ErrStatus
	}
	return nil
}
