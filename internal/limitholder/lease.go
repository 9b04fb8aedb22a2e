package limitholder

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// tablePartition is the table partition of all limit lease rows, so that one query reads them all.
const tablePartition = "limit"

// leaseRow is the value of a lease row. It holds a duration and no point in time, so that clocks of different
// hosts are never compared: the holder counts the term from before it sent the write, and every other process
// counts it from when it first read this renewal.
type leaseRow struct {
	Address           string   `json:"address"`
	HolderDataCentre  string   `json:"home,omitempty"` // data centre of the holder, which can differ from that of the row
	Incarnation       string   `json:"incarnation"`
	Epoch             int64    `json:"epoch"`   // increased by one at each change of holder
	Renewal           int64    `json:"renewal"` // increased by one at each write
	TermMS            int64    `json:"term_ms"`
	Released          bool     `json:"returned,omitempty"` // the holder has released the lease
	DataCentres       []string `json:"data_centres"`       // data centres between which the holder's shares are divided
	MembershipVersion int64    `json:"membership"`         // configuration version of DataCentres
}

func (r leaseRow) term() time.Duration { return time.Duration(r.TermMS) * time.Millisecond }

// sameWrite reports whether the rows were written by the same write.
func (r leaseRow) sameWrite(o leaseRow) bool {
	return r.Address == o.Address && r.Incarnation == o.Incarnation && r.Epoch == o.Epoch && r.Renewal == o.Renewal
}

func rowKey(dataCentre string, partition int) tablestore.Key {
	return tablestore.Key{Partition: tablePartition, Sort: fmt.Sprintf("%s/%02d", dataCentre, partition)}
}

func parseRowKey(k tablestore.Key) (dataCentre string, partition int, ok bool) {
	dataCentre, number, ok := strings.Cut(k.Sort, "/")
	partition, err := strconv.Atoi(number)
	return dataCentre, partition, ok && err == nil
}

// storedRow is a lease row as read. Version zero means that the row does not exist.
type storedRow struct {
	leaseRow
	version int64
}

// leaseID identifies a lease and its row.
type leaseID struct {
	dataCentre string
	partition  int
}

func decodeRows(rows []tablestore.Row) (map[leaseID]storedRow, error) {
	decoded := make(map[leaseID]storedRow, len(rows))
	for _, row := range rows {
		dc, partition, ok := parseRowKey(row.Key)
		if !ok {
			return nil, fmt.Errorf("lease row %s: unexpected key", row.Key)
		}
		s := storedRow{version: row.Version}
		if err := json.Unmarshal(row.Value, &s.leaseRow); err != nil {
			return nil, fmt.Errorf("lease row %s: %w", row.Key, err)
		}
		decoded[leaseID{dc, partition}] = s
	}
	return decoded, nil
}

// lease is the state that a gateway keeps for one lease row.
type lease struct {
	dataCentre      string
	partitionNumber int

	held       bool
	row        leaseRow // as last written by this gateway
	version    int64
	sentAt     time.Duration // when the write of row was first sent; the term counts from here
	acquiredAt time.Duration
	quarantine time.Duration // duration after acquiredAt; zero if the row was new
	shares     map[string]*orgShare
	generation int64 // increased when the shares are reset within an epoch

	pending *pendingWrite

	seenVersion            int64
	seenAt                 time.Duration // when seenVersion was first read or written
	acquireReason          string        // why the lease may be acquired, or empty
	acquireReasonSince     time.Duration
	holderRemovedSince     time.Duration
	holderRemoved          bool
	configuredVersion      int64 // configuration version of the membership at the last renewal check
	configuredVersionSince time.Duration
}

type pendingWrite struct {
	row        leaseRow
	ifVersion  int64
	sentAt     time.Duration // when the write was first sent
	reason     string
	quarantine time.Duration
}

func newLeases(dataCentre string, partitions int) []*lease {
	leases := make([]*lease, partitions)
	for i := range leases {
		leases[i] = &lease{dataCentre: dataCentre, partitionNumber: i}
	}
	return leases
}

func (l *lease) leaseID() leaseID { return leaseID{l.dataCentre, l.partitionNumber} }

// valid reports whether the lease may be used at now.
func (l *lease) valid(now time.Duration) bool {
	return l.held && now >= l.sentAt && now < l.sentAt+l.row.term()
}

// renewalDue reports whether a third of the term has passed since the last renewal.
func (l *lease) renewalDue(now time.Duration) bool { return now >= l.sentAt+l.row.term()/3 }

// observe updates the lease from a row that was read at now, and resolves a pending write whose answer was
// lost.
func (h *Holder) observe(l *lease, row storedRow, now time.Duration) {
	if p := l.pending; p != nil && row.version != p.ifVersion {
		l.pending = nil
		if row.sameWrite(p.row) {
			h.applyWrite(l, p, row.version, now)
		}
	}
	if l.held && row.version != l.version {
		h.opts.Log.Warn("limit lease lost", "data_centre", l.dataCentre, "partition", l.partitionNumber,
			"epoch", l.row.Epoch, "holder", row.Address)
		l.invalidate()
	}
	if row.version != l.seenVersion {
		l.seenVersion, l.seenAt = row.version, now
		l.holderRemoved, l.acquireReason = false, ""
	}
}

func (l *lease) invalidate() {
	l.held = false
	l.shares = nil
}

// applyWrite updates the lease after the table service has accepted the write p.
func (h *Holder) applyWrite(l *lease, p *pendingWrite, version int64, now time.Duration) {
	if p.row.Released {
		l.version = version
		return
	}
	if !l.held || l.row.Epoch != p.row.Epoch {
		l.acquiredAt, l.quarantine = now, p.quarantine
		l.shares = make(map[string]*orgShare)
		h.opts.Log.Info("limit lease acquired", "data_centre", l.dataCentre, "partition", l.partitionNumber, "epoch", p.row.Epoch,
			"reason", p.reason, "quarantine", p.quarantine)
	} else {
		h.opts.Log.Info("limit lease renewed", "data_centre", l.dataCentre, "partition", l.partitionNumber,
			"epoch", p.row.Epoch, "renewal", p.row.Renewal)
	}
	l.held, l.row, l.version, l.sentAt = true, p.row, version, p.sentAt
	l.seenVersion, l.seenAt = version, now
}

// planWrite returns the write that is now due for the lease, or nil.
func (h *Holder) planWrite(l *lease, rows map[leaseID]storedRow, now time.Duration) *pendingWrite {
	if l.pending != nil {
		return l.pending
	}
	row := rows[l.leaseID()]
	dataCentresConfigured := h.dataCentresConfigured(l)
	foreign := l.dataCentre != h.opts.DataCentre
	switch {
	case l.held && !dataCentresConfigured:
		return h.planRelease(l, now, "data centre removed")
	case l.held && foreign && h.hasGateway[l.dataCentre]:
		return h.planRelease(l, now, "the data centre has a gateway again")
	case l.held:
		return h.planRenewal(l, now)
	case !dataCentresConfigured || h.shuttingDown:
		return nil
	case foreign && !h.mayAdopt(l.dataCentre, now):
		return nil
	}
	reason := h.acquireReasonFor(l, row, now)
	if reason != l.acquireReason {
		l.acquireReason, l.acquireReasonSince = reason, now
	}
	if reason == "" || now < l.acquireReasonSince+time.Duration(h.ownRank(l))*h.opts.Interval {
		return nil
	}
	return &pendingWrite{
		row: h.newRow(row.Epoch+1, row.Renewal+1), ifVersion: row.version, sentAt: now,
		reason: reason, quarantine: h.quarantineFor(l, rows),
	}
}

func (h *Holder) newRow(epoch, renewal int64) leaseRow {
	members := h.membership()
	return leaseRow{
		Address: h.opts.Address, HolderDataCentre: h.opts.DataCentre, Incarnation: h.opts.Incarnation, Epoch: epoch, Renewal: renewal,
		TermMS: h.opts.LeaseTerm.Milliseconds(), DataCentres: members.dataCentres, MembershipVersion: members.version,
	}
}

// planRenewal returns a renewal if a third of the term has passed, or if this gateway saw the data centres change
// at least GrowthDelay ago, so that every share has changed its fraction. The changed data centres are not written
// earlier, because a successor derives its quarantine from the membership in the row.
func (h *Holder) planRenewal(l *lease, now time.Duration) *pendingWrite {
	next := h.newRow(l.row.Epoch, l.row.Renewal+1)
	if next.MembershipVersion != l.configuredVersion {
		l.configuredVersion, l.configuredVersionSince = next.MembershipVersion, now
	}
	changed := next.MembershipVersion != l.row.MembershipVersion
	fractionsChanged := changed && now >= l.configuredVersionSince+h.opts.Limit.GrowthDelay()
	if !fractionsChanged {
		next.DataCentres, next.MembershipVersion = l.row.DataCentres, l.row.MembershipVersion
	}
	if !fractionsChanged && !l.renewalDue(now) {
		return nil
	}
	return &pendingWrite{row: next, ifVersion: l.version, sentAt: now, reason: "renewal"}
}

// planRelease stops granting from the lease and returns the write that releases it.
func (h *Holder) planRelease(l *lease, now time.Duration, reason string) *pendingWrite {
	row := l.row
	row.Renewal++
	row.Released = true
	l.invalidate()
	h.opts.Log.Info("limit lease released", "data_centre", l.dataCentre, "partition", l.partitionNumber,
		"epoch", row.Epoch, "reason", reason)
	return &pendingWrite{row: row, ifVersion: l.version, sentAt: now, reason: reason}
}

// acquireReasonFor returns why this gateway may acquire the lease, or an empty string if it may not.
func (h *Holder) acquireReasonFor(l *lease, row storedRow, now time.Duration) string {
	holderRemoved := row.version != 0 && h.opts.Removed(row.Address)
	if holderRemoved != l.holderRemoved {
		l.holderRemoved, l.holderRemovedSince = holderRemoved, now
	}
	switch {
	case row.version == 0:
		return "new row"
	case row.Released:
		return "released by its holder"
	case row.Address == h.opts.Address && row.Incarnation != h.opts.Incarnation:
		return "new incarnation at the same address"
	case l.holderRemoved && now >= l.holderRemovedSince+h.opts.TakeoverDelay:
		return "host removed from the host list"
	case now >= l.seenAt+row.term()+h.opts.Limit.LoanReturnMargin:
		return "lapsed"
	}
	return ""
}

// quarantineFor returns how long the shares of a newly acquired lease have no rate and capacity of their own.
// A new row needs no quarantine if the rows of the other data centres have the current membership. If any row
// has another membership, the fraction of its holder may be too large until the configuration has reached that
// holder and its loans have ended.
func (h *Holder) quarantineFor(l *lease, rows map[leaseID]storedRow) time.Duration {
	version := h.membership().version
	for p, row := range rows {
		granting := !row.Released || p.dataCentre == l.dataCentre
		if p.partition == l.partitionNumber && granting && row.MembershipVersion != version {
			return h.opts.Limit.GrowthDelay()
		}
	}
	if l.seenVersion == 0 {
		return 0
	}
	return h.opts.Limit.Quarantine()
}
