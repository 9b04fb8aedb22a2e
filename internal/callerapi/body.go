package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
)

const (
	// tokensPerMessage is the overhead of one message in a prompt, in tokens.
	tokensPerMessage = 4
	// prefixHashBytes is the number of bytes at the start of the messages that identify a prompt prefix.
	prefixHashBytes = 1024
	// maxTokenCount limits every token count in a request.
	maxTokenCount = 1 << 24
)

// readBody reads the body within MaxBody and the read deadline that newExchange set. The error has kind BodyTooLarge or
// BadRequest, or GatewayFull if Options.Bodies does not cover the body.
func (s *Server) readBody(x *exchange) ([]byte, error) {
	var r io.Reader = http.MaxBytesReader(x.w, x.r.Body, s.opts.MaxBody)
	if s.opts.Bodies != nil {
		x.bodyLease = s.opts.Bodies.Lease(0)
		r = &coveredReader{Reader: r, lease: x.bodyLease}
	}
	body, err := io.ReadAll(r)
	// Clear the read deadline, so that the server detects when the caller disconnects while the request runs.
	_ = x.control.SetReadDeadline(time.Time{})
	if errors.Is(err, errNoBodyMemory) {
		return nil, errkind.New(errkind.GatewayFull, "bodies hold %d of %d bytes", s.opts.Bodies.Held(), s.opts.Bodies.Bound())
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.BodyTooLarge, "the limit is %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the body did not arrive completely in time")
	}
	return body, nil
}

// errNoBodyMemory means that the budget does not cover more of the body.
var errNoBodyMemory = errors.New("no memory for the body")

// coveredReader takes the memory for what is read next from a lease.
type coveredReader struct {
	io.Reader
	lease *memorybudget.Lease
	total int64
}

// Read implements io.Reader. Twice the bytes are taken, because the buffer of io.ReadAll grows by copies.
func (r *coveredReader) Read(b []byte) (int, error) {
	if !r.lease.Cover(2 * (r.total + int64(len(b)))) {
		return 0, errNoBodyMemory
	}
	n, err := r.Reader.Read(b)
	r.total += int64(n)
	return n, err
}

// chatRequest is the part of a chat-completions request that the gateway reads.
type chatRequest struct {
	model        string
	stream       bool
	includeUsage bool
	maxTokens    int64 // 0 if the request gives no limit
	promptTokens int64 // estimate
	prefixHash   string
	fields       map[string]json.RawMessage
}

// parseChat decodes and checks the body. The error has kind BadRequest and names the invalid field.
func parseChat(body []byte) (*chatRequest, error) {
	if !utf8.Valid(body) {
		return nil, errkind.New(errkind.BadRequest, "the body is not valid UTF-8")
	}
	c := new(chatRequest)
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, errkind.New(errkind.BadRequest, "the body is not a JSON object")
	}
	if err := c.read(); err != nil {
		return nil, errkind.New(errkind.BadRequest, "%s", err)
	}
	return c, nil
}

func (c *chatRequest) read() error {
	if err := c.field("model", &c.model, "a string"); err != nil {
		return err
	}
	if c.model == "" {
		return errors.New("model is missing")
	}
	if err := c.field("stream", &c.stream, "true or false"); err != nil {
		return err
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := c.field("stream_options", &options, "an object"); err != nil {
		return err
	}
	c.includeUsage = options.IncludeUsage
	n := int64(1)
	if err := c.field("n", &n, "an integer"); err != nil {
		return err
	}
	if n != 1 {
		return errors.New("n must be 1")
	}
	if err := c.readMaxTokens(); err != nil {
		return err
	}
	return c.readMessages()
}

// field decodes the named field into a value and leaves the value as it is if the field is absent. The error says
// what the field must be.
func (c *chatRequest) field(name string, into any, expected string) error {
	raw, ok := c.fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s must be %s", name, expected)
	}
	return nil
}

func (c *chatRequest) readMaxTokens() error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var count *int64
		if err := c.field(name, &count, "an integer"); err != nil {
			return err
		}
		if count == nil {
			continue
		}
		if *count < 1 || *count > maxTokenCount {
			return fmt.Errorf("%s must be from 1 to %d", name, maxTokenCount)
		}
		c.maxTokens = *count
	}
	return nil
}

func (c *chatRequest) readMessages() error {
	var messages []json.RawMessage
	if err := c.field("messages", &messages, "a list of messages"); err != nil {
		return err
	}
	if len(messages) == 0 {
		return errors.New("messages is missing or empty")
	}
	for i, raw := range messages {
		var m struct {
			Role *string `json:"role"`
		}
		if err := json.Unmarshal(raw, &m); err != nil || m.Role == nil || *m.Role == "" {
			return fmt.Errorf("messages[%d] must be an object with a role", i)
		}
	}
	text := c.fields["messages"]
	c.promptTokens = estimateTokens(text) + int64(tokensPerMessage*len(messages))
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.model))
	_, _ = h.Write(text[:min(len(text), prefixHashBytes)])
	c.prefixHash = fmt.Sprintf("%016x", h.Sum64())
	return nil
}

// estimateTokens estimates the number of tokens of valid UTF-8 text, rounded up. Tokenizers produce about one token for
// four ASCII bytes of prose, for one to three digits, and for each letter of a script that their vocabulary covers
// poorly, such as Urdu.
func estimateTokens(text []byte) int64 {
	quarters := int64(0)
	for _, b := range text {
		switch {
		case b >= '0' && b <= '9':
			quarters += 2
		case b < utf8.RuneSelf:
			quarters++
		case utf8.RuneStart(b):
			quarters += 4
		}
	}
	return (quarters + 3) / 4
}

// encode returns the request body for the engine. The body is encoded again, so that a field that the caller gave twice
// occurs only once, and contains the number of output tokens that were reserved.
func (c *chatRequest) encode(maxTokens int64) ([]byte, error) {
	c.fields["max_tokens"] = fmt.Appendf(nil, "%d", maxTokens)
	delete(c.fields, "max_completion_tokens")
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(c.fields); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode the body")
	}
	return bytes.TrimSpace(b.Bytes()), nil
}
