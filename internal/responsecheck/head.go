package responsecheck

import (
	"errors"
	"net/http"
)

// ErrStatus means that a response has a status outside of the range that RFC 9110, section 15, defines. Its server is in trouble, and
// net/http would deliver the response or wait for another one.
var ErrStatus = errors.New("the status of the response is not between 100 and 599")

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
	lastLine              // after the carriage return of the empty line
	ended
)

// Head checks the head of a response as it arrives. The zero value is ready for use. It refuses what net/http would accept: a status that
// does not exist. What net/http refuses on its own may pass.
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
	switch {
	case h.part == version && c == ' ':
		h.part = blanks
	case h.part == blanks && c != ' ', h.part == code:
		return h.nextOfStatus(c)
	case h.part == lineBegin && c == '\r':
		h.part = lastLine
	case h.part == lineBegin, h.part == lastLine:
		h.part = rest
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

func (h *Head) checkStatus() error {
	if h.digits != statusDigits || !ValidStatus(h.status) {
		return ErrStatus
	}
	return nil
}
