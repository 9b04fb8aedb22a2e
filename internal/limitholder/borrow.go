package limitholder

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/limitshare"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// borrow requests loans from the other holders, waits until they have answered or ctx is done, and reports
// whether it is worthwhile to try the charge again. At most one borrowing round of an organisation runs at a
// time, and rounds start at least BorrowInterval apart; other requests wait for the running round.
func (h *Holder) borrow(ctx context.Context, org config.Organisation, tokens int64) bool {
	h.mu.Lock()
	now := h.opts.Now()
	leases := h.usableLeases(org.Name, now)
	if len(leases) == 0 {
		h.mu.Unlock()
		return false
	}
	l := leases[0] // its share takes the loans
	o := h.shareOf(l, org, now)
	if o.borrowDone != nil {
		done := o.borrowDone
		h.mu.Unlock()
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		}
	}
	lenders := h.holderAddressesLocked(l.partitionNumber)
	if now < o.nextBorrowAt || len(lenders) == 0 {
		h.mu.Unlock()
		return false
	}
	o.nextBorrowAt = now + h.opts.BorrowInterval
	o.borrowDone = make(chan struct{})
	level := int64(0)
	for _, other := range leases {
		level += h.shareOf(other, org, now).share.Level(now)
	}
	// Also borrow the tokens of one second at the organisation's rate, for the requests that follow before the
	// next round. With only the missing tokens, 1 in 20 requests within the rate was refused in
	// TestOutageAtSkewedLoad while all holders ran; with them it is 1 in 250.
	missing := min(org.Burst, tokens-level+int64(org.Rate))
	request := &wirepb.LimitBorrow{
		Organisation: org.Name, Borrower: h.opts.Address, Tokens: missing,
		Rate: org.Rate, Capacity: org.Burst, DurationMs: h.opts.Limit.MaxLoanDuration.Milliseconds(),
	}
	epoch := l.row.Epoch
	h.mu.Unlock()
	received := h.borrowFrom(ctx, lenders, l, o, epoch, request)
	h.mu.Lock()
	close(o.borrowDone)
	o.borrowDone = nil
	h.mu.Unlock()
	return received
}

// borrowFrom sends the request to all lenders concurrently and adds the loans that arrive in time.
func (h *Holder) borrowFrom(
	ctx context.Context, lenders []string, l *lease, o *orgShare, epoch int64, request *wirepb.LimitBorrow,
) bool {
	// All requests of the organisation share the loans, so cancelling this request does not cancel the borrowing.
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
			if h.addLoan(l, o, epoch, sentAt, reply.GetLimitLoan()) {
				mu.Lock()
				received = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return received
}

func (h *Holder) addLoan(l *lease, o *orgShare, epoch int64, sentAt time.Duration, m *wirepb.LimitLoan) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	if !l.valid(now) || l.row.Epoch != epoch {
		return false
	}
	loan := limitshare.Loan{
		ID: m.GetLoanId(), Tokens: m.GetTokens(), Rate: m.GetRate(), Capacity: m.GetCapacity(),
		Duration: time.Duration(m.GetDurationMs()) * time.Millisecond,
	}
	if !o.share.Borrow(now, sentAt, h.opts.BorrowTimeout, loan) {
		return false
	}
	h.metrics.loansTaken.Add(1)
	return true
}

// holderAddresses returns the addresses of the known holders of a partition: that of the own data centre
// first, then those of the other data centres in order of name. Holders that recently did not answer are last,
// and this gateway is left out.
func (h *Holder) holderAddresses(partition int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holderAddressesLocked(partition)
}

func (h *Holder) holderAddressesLocked(partition int) []string {
	now := h.opts.Now()
	type sortedAddress struct {
		sortKey string
		address string
	}
	var found []sortedAddress
	for _, row := range h.holderRows(partition) {
		sortKey := "1" + row.dataCentre
		if row.dataCentre == h.opts.DataCentre {
			sortKey = "0"
		}
		if now < h.unresponsiveUntil[row.address] {
			sortKey = "2" + sortKey
		}
		found = append(found, sortedAddress{sortKey, row.address})
	}
	slices.SortStableFunc(found, func(a, b sortedAddress) int { return strings.Compare(a.sortKey, b.sortKey) })
	addresses := make([]string, 0, len(found))
	for _, c := range found {
		// A gateway that holds the leases of several data centres is asked once.
		if !slices.Contains(addresses, c.address) {
			addresses = append(addresses, c.address)
		}
	}
	return addresses
}

type holderRow struct{ dataCentre, address string }

// holderRows returns the other holders of a partition that the lease rows name. If they name no holder, it returns the gateways
// that are the likely ones in each data centre: one of them may have acquired the lease since the rows were read.
func (h *Holder) holderRows(partition int) []holderRow {
	var found []holderRow
	held := false
	for p, row := range h.rows {
		if p.partition != partition || row.Released {
			continue
		}
		held = true
		if row.Address != h.opts.Address {
			found = append(found, holderRow{p.dataCentre, row.Address})
		}
	}
	if !held {
		return h.likelyHolders(partition)
	}
	return found
}
