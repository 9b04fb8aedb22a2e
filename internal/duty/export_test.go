package duty

import "context"

// Step makes one step of Run for the tests, which have their own clock.
func (l *Lease) Step(ctx context.Context) { l.step(ctx) }

// Constants that the tests check against.
const (
	RenewInterval = renewInterval
	CallTimeout   = callTimeout
	SendMargin    = sendMargin
	AnswerTimeout = answerTimeout
)

// RenewalFailed reports whether the last renewal got no answer.
func (l *Lease) RenewalFailed() bool { return l.renewalFailed() }
