package limitholder

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/limit"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// borrow asks the holders of the other data centres for loans, waits until they answered or ctx ends, and
// reports whether another charge is worth a try. At most one round for each organisation is under way,
// and rounds are BorrowPause apart; other requests wait for the round under way.
func (h *Holder) borrow(ctx context.Context, org config.Organisation, tokens int64) bool {
	h.mu.Lock()
	now := h.opts.Now()
	l, ok := h.usable(org.Name, now)
	if !ok {
		h.mu.Unlock()
		return false
	}
	o := h.shareOf(l, org, now)
	if o.borrowing != nil {
		done := o.borrowing
		h.mu.Unlock()
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		}
	}
	lenders := h.holdersLocked(l.number, false)
	if now < o.nextBorrow || len(lenders) == 0 {
		h.mu.Unlock()
		return false
	}
	o.nextBorrow = now + h.opts.BorrowPause
	o.borrowing = make(chan struct{})
	request := &wirepb.LimitBorrow{
		Organisation: org.Name, Borrower: h.opts.Address, Tokens: tokens - o.share.Level(now),
		Rate: org.Rate, Capacity: org.Burst, DurationMs: h.opts.Limit.LongestLoan.Milliseconds(),
	}
	epoch := l.row.Epoch
	h.mu.Unlock()
	received := h.borrowFrom(ctx, lenders, l, o, epoch, request)
	h.mu.Lock()
	close(o.borrowing)
	o.borrowing = nil
	h.mu.Unlock()
	return received
}

// borrowFrom sends the request to all lenders at once and adds the loans that come in time.
func (h *Holder) borrowFrom(
	ctx context.Context, lenders []string, l *lease, o *orgShare, epoch int64, request *wirepb.LimitBorrow,
) bool {
	// The loans are shared by all requests of the organisation, so they do not end with the caller's.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.opts.BorrowTimeout)
	defer cancel()
	message := &wirepb.Envelope{Message: &wirepb.Envelope_LimitBorrow{LimitBorrow: request}}
	var wg sync.WaitGroup
	var mu sync.Mutex
	received := false
	for _, address := range lenders {
		wg.Go(func() {
			sentAt := h.opts.Now()
			reply, err := h.call(ctx, address, message)
			if err != nil || reply.GetLimitLoan() == nil {
				h.metrics.loansFailed.Add(1)
				return
			}
			if h.receive(l, o, epoch, sentAt, reply.GetLimitLoan()) {
				mu.Lock()
				received = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return received
}

func (h *Holder) receive(l *lease, o *orgShare, epoch int64, sentAt time.Duration, m *wirepb.LimitLoan) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	if !l.valid(now) || l.row.Epoch != epoch {
		return false
	}
	loan := limit.Loan{
		ID: m.GetLoanId(), Tokens: m.GetTokens(), Rate: m.GetRate(), Capacity: m.GetCapacity(),
		Duration: time.Duration(m.GetDurationMs()) * time.Millisecond,
	}
	if !o.share.Borrow(now, sentAt, h.opts.BorrowTimeout, loan) {
		return false
	}
	h.metrics.loansTaken.Add(1)
	return true
}

// holders returns the addresses of the known holders of a partition: with own, that of the own data
// centre first, then those of the other data centres in order of name. Those that did not answer lately
// are last, and this gateway is left out.
func (h *Holder) holders(partition int, own bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holdersLocked(partition, own)
}

func (h *Holder) holdersLocked(partition int, own bool) []string {
	now := h.opts.Now()
	type candidate struct {
		order   string // sort key
		address string
	}
	var found []candidate
	for p, row := range h.rows {
		local := p.dataCentre == h.opts.DataCentre
		if p.partition != partition || row.Returned || row.Address == h.opts.Address || (local && !own) {
			continue
		}
		order := "1" + p.dataCentre
		if local {
			order = "0"
		}
		if now < h.avoided[row.Address] {
			order = "2" + order
		}
		found = append(found, candidate{order, row.Address})
	}
	slices.SortFunc(found, func(a, b candidate) int { return strings.Compare(a.order, b.order) })
	addresses := make([]string, 0, len(found))
	for _, c := range found {
		addresses = append(addresses, c.address)
	}
	return addresses
}
