package duty

import (
	"context"
	"errors"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// answerTimeout limits one call of the cloud interface. A call without an answer is repeated exactly.
	answerTimeout = 2 * time.Second
	// usedRate is the part of the permitted rate of calls that is used. The rest covers the platform's way of counting.
	usedRate = 0.8
	// maxBurst limits the calls that are made at once.
	maxBurst = 4
)

// Errors returned by Client.Report.
var (
	// ErrNotHolder means that this process may not make calls now. The call has not been sent.
	ErrNotHolder = errors.New("this process does not hold the duties")
	// ErrRate means that the permitted rate is used up for now. The call has not been sent.
	ErrRate = errors.New("the permitted rate of calls is used up")
)

// Sender makes a call of the platform's cloud interface, as platform.Cloud does.
type Sender interface {
	Send(ctx context.Context, holder string, token int64, call platform.CloudCall, permitted func() error) error
}

// ClientOptions configure a Client. All fields are required.
type ClientOptions struct {
	Cloud          Sender
	Holder         Holder
	Clock          bootclock.Clock
	Host           string  // name of this host
	CallsPerSecond float64 // permitted, from all hosts together
}

// Client makes calls of the cloud interface while this process holds the duties. It is safe for concurrent use.
type Client struct {
	opts    ClientOptions
	limiter *rate.Limiter
}

// NewClient returns a client.
func NewClient(opts ClientOptions) *Client {
	perSecond := opts.CallsPerSecond * usedRate
	burst := int(min(max(1, math.Floor(perSecond/4)), maxBurst))
	return &Client{opts: opts, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Report makes one call and returns nil if it got status 200. The lease is checked immediately before the request is written.
// After an error other than ErrNotHolder and ErrRate the call may have been executed and must be repeated exactly.
func (c *Client) Report(ctx context.Context, call platform.CloudCall) error {
	token, ok := c.opts.Holder.Token()
	if !ok {
		return ErrNotHolder
	}
	if !c.limiter.AllowN(time.Unix(0, int64(c.opts.Clock())), 1) {
		return ErrRate
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return c.opts.Cloud.Send(ctx, c.opts.Host, token, call, func() error {
		if now, ok := c.opts.Holder.Token(); !ok || now != token {
			return ErrNotHolder
		}
		return nil
	})
}
