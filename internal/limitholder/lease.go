package limitholder

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// rowPartition is the table partition of all lease rows of limits, so that one query reads them all.
const rowPartition = "limit"

// leaseRow is the value of a lease row. It holds a duration and no time, so that no two clocks are
// compared: the holder counts Term from before it sent the write, and any other process counts it from
// when it first read this Renewal.
type leaseRow struct {
	Address     string   `json:"address"`
	Incarnation string   `json:"incarnation"`
	Epoch       int64    `json:"epoch"`   // grows by one at each change of holder
	Renewal     int64    `json:"renewal"` // grows by one at each write
	TermMS      int64    `json:"term_ms"`
	Returned    bool     `json:"returned,omitempty"` // handed back
	DataCentres []string `json:"data_centres"`       // that the holder's fraction counts
	Membership  int64    `json:"membership"`         // configuration version of DataCentres
}

func (r leaseRow) term() time.Duration { return time.Duration(r.TermMS) * time.Millisecond }

// sameWrite reports whether the rows come from the same write.
func (r leaseRow) sameWrite(o leaseRow) bool {
	return r.Address == o.Address && r.Incarnation == o.Incarnation && r.Epoch == o.Epoch && r.Renewal == o.Renewal
}

func rowKey(dataCentre string, partition int) tablestore.Key {
	return tablestore.Key{Partition: rowPartition, Sort: fmt.Sprintf("%s/%02d", dataCentre, partition)}
}

func parseRowKey(k tablestore.Key) (dataCentre string, partition int, ok bool) {
	dataCentre, number, ok := strings.Cut(k.Sort, "/")
	partition, err := strconv.Atoi(number)
	return dataCentre, partition, ok && err == nil
}

// storedRow is a lease row as read; version zero means that it does not exist.
type storedRow struct {
	leaseRow
	version int64
}

// place names a lease row.
type place struct {
	dataCentre string
	partition  int
}

func decodeRows(rows []tablestore.Row) (map[place]storedRow, error) {
	decoded := make(map[place]storedRow, len(rows))
	for _, row := range rows {
		dc, partition, ok := parseRowKey(row.Key)
		if !ok {
			return nil, fmt.Errorf("lease row %s: unexpected key", row.Key)
		}
		s := storedRow{version: row.Version}
		if err := json.Unmarshal(row.Value, &s.leaseRow); err != nil {
			return nil, fmt.Errorf("lease row %s: %w", row.Key, err)
		}
		decoded[place{dc, partition}] = s
	}
	return decoded, nil
}

// lease is what a gateway knows about one lease row of its own data centre.
type lease struct {
	number int // of the partition

	held       bool
	row        leaseRow // as written last
	version    int64
	sentAt     time.Duration // when the write that counts was sent
	adoptedAt  time.Duration
	quarantine time.Duration // after adoptedAt; zero if the row was new
	shares     map[string]*orgShare
	generation int64 // grows when the shares start again within an epoch

	pending *pendingWrite

	seenVersion    int64
	seenAt         time.Duration // when seenVersion was first read
	claimable      string        // reason, or empty
	claimableSince time.Duration
	removedSince   time.Duration
	removed        bool
	configured     int64 // membership in the configuration at the last round
	changedSince   time.Duration
}

type pendingWrite struct {
	row        leaseRow
	ifVersion  int64
	sentAt     time.Duration // of the first attempt
	reason     string
	quarantine time.Duration
}

// valid reports whether the lease may be used at now.
func (l *lease) valid(now time.Duration) bool {
	return l.held && now >= l.sentAt && now < l.sentAt+l.row.term()
}

// renewalDue reports whether a third of the term has passed.
func (l *lease) renewalDue(now time.Duration) bool { return now >= l.sentAt+l.row.term()/3 }

// observe records what a read at now showed and resolves a write whose answer was lost.
func (h *Holder) observe(l *lease, row storedRow, now time.Duration) {
	if p := l.pending; p != nil && row.version != p.ifVersion {
		l.pending = nil
		if row.sameWrite(p.row) {
			h.adopt(l, p, row.version, now)
		}
	}
	if l.held && row.version != l.version {
		h.opts.Log.Warn("limit lease lost", "partition", l.number, "epoch", l.row.Epoch, "holder", row.Address)
		l.drop()
	}
	if row.version != l.seenVersion {
		l.seenVersion, l.seenAt = row.version, now
		l.removed, l.claimable = false, ""
	}
}

func (l *lease) drop() {
	l.held = false
	l.shares = nil
}

// adopt puts a write into force that the table service has taken.
func (h *Holder) adopt(l *lease, p *pendingWrite, version int64, now time.Duration) {
	if p.row.Returned {
		l.version = version
		return
	}
	if !l.held || l.row.Epoch != p.row.Epoch {
		l.adoptedAt, l.quarantine = now, p.quarantine
		l.shares = make(map[string]*orgShare)
		h.opts.Log.Info("limit lease taken", "partition", l.number, "epoch", p.row.Epoch,
			"reason", p.reason, "quarantine", p.quarantine)
	} else {
		h.opts.Log.Info("limit lease renewed", "partition", l.number, "epoch", p.row.Epoch, "renewal", p.row.Renewal)
	}
	l.held, l.row, l.version, l.sentAt = true, p.row, version, p.sentAt
	l.seenVersion, l.seenAt = version, now
}

// plan returns the write that the lease row needs now, or nil.
func (h *Holder) plan(l *lease, rows map[place]storedRow, now time.Duration) *pendingWrite {
	if l.pending != nil {
		return l.pending
	}
	row := rows[place{h.opts.DataCentre, l.number}]
	member := slices.Contains(h.membership().names, h.opts.DataCentre)
	switch {
	case l.held && member:
		return h.planRenewal(l, now)
	case l.held:
		return h.planReturn(l, now, "data centre removed")
	case !member || h.closing:
		return nil
	}
	reason := h.claimReason(l, row, now)
	if reason != l.claimable {
		l.claimable, l.claimableSince = reason, now
	}
	wait := time.Duration(rank(h.opts.Address, l.number, h.opts.Gateways())) * h.opts.Interval
	if reason == "" || now < l.claimableSince+wait {
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
		Address: h.opts.Address, Incarnation: h.opts.Incarnation, Epoch: epoch, Renewal: renewal,
		TermMS: h.opts.LeaseTerm.Milliseconds(), DataCentres: members.names, Membership: members.version,
	}
}

// planRenewal renews in time, and also when the data centres changed, but not before every share has
// changed its fraction: a successor relies on the row to choose its quarantine.
func (h *Holder) planRenewal(l *lease, now time.Duration) *pendingWrite {
	next := h.newRow(l.row.Epoch, l.row.Renewal+1)
	if next.Membership != l.configured {
		l.configured, l.changedSince = next.Membership, now
	}
	changed := next.Membership != l.row.Membership
	settled := changed && now >= l.changedSince+h.opts.Limit.GrowthDelay()
	if !settled {
		next.DataCentres, next.Membership = l.row.DataCentres, l.row.Membership
	}
	if !settled && !l.renewalDue(now) {
		return nil
	}
	return &pendingWrite{row: next, ifVersion: l.version, sentAt: now, reason: "renewal"}
}

// planReturn stops granting and returns the write that hands the row back.
func (h *Holder) planReturn(l *lease, now time.Duration, reason string) *pendingWrite {
	row := l.row
	row.Renewal++
	row.Returned = true
	l.drop()
	h.opts.Log.Info("limit lease handed back", "partition", l.number, "epoch", row.Epoch, "reason", reason)
	return &pendingWrite{row: row, ifVersion: l.version, sentAt: now, reason: reason}
}

// claimReason says why this gateway may take the row over, or returns an empty string.
func (h *Holder) claimReason(l *lease, row storedRow, now time.Duration) string {
	removed := row.version != 0 && h.opts.Removed(row.Address)
	if removed != l.removed {
		l.removed, l.removedSince = removed, now
	}
	switch {
	case row.version == 0:
		return "new row"
	case row.Returned:
		return "handed back"
	case row.Address == h.opts.Address && row.Incarnation != h.opts.Incarnation:
		return "new incarnation at the same address"
	case l.removed && now >= l.removedSince+h.opts.Settle:
		return "host removed from the host list"
	case now >= l.seenAt+row.term()+h.opts.Limit.Margin:
		return "lapsed"
	}
	return ""
}

// quarantineFor returns how long a new holder has no rate and capacity of its own. A new row needs none
// if the holders of the other data centres count the same data centres; if any row is of another
// configuration, its holder's fraction may still be too large until the configuration has reached it and
// its loans have ended.
func (h *Holder) quarantineFor(l *lease, rows map[place]storedRow) time.Duration {
	version := h.membership().version
	for p, row := range rows {
		granting := !row.Returned || p.dataCentre == h.opts.DataCentre
		if p.partition == l.number && granting && row.Membership != version {
			return h.opts.Limit.GrowthDelay()
		}
	}
	if l.seenVersion == 0 {
		return 0
	}
	return h.opts.Limit.Quarantine()
}
