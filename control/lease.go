package control

import (
	"maps"
	"time"

	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/member"
	"sloeturn/wire"
)

const (
	// LeaseCheckInterval is how often the leader checks the seats' leases.
	LeaseCheckInterval = 100 * time.Millisecond
	// RevokeBackoff is how long after a lease was restored it is not revoked again; it doubles with
	// each restore.
	RevokeBackoff = 5 * time.Second
	// MaxBackoffDoublings bounds how often RevokeBackoff doubles.
	MaxBackoffDoublings = 4
	// BackoffLifetime is how long after its last restore a seat's backoff is forgotten.
	BackoffLifetime = 2 * time.Minute
)

// backoff is when a seat's lease was last restored, and how often lately.
type backoff struct {
	restoredAt ident.Moment
	restores   int
}

func (b backoff) elapsed(now ident.Moment) bool {
	return b.restores == 0 || now.Sub(b.restoredAt) >= RevokeBackoff<<min(b.restores-1, MaxBackoffDoublings)
}

// leaseState is what a leader keeps of the seats' leases: since when revoked ones are published as
// such, and which are to be restored.
type leaseState struct {
	leasesCheckedAt ident.Moment
	leaseEntryIndex uint64
	revokedAt       map[uint64]ident.Moment
	backoffs        map[string]backoff
	restoreRequests map[ident.Seat]uint64
}

func newLeaseState() leaseState {
	return leaseState{revokedAt: map[uint64]ident.Moment{}, backoffs: map[string]backoff{}, restoreRequests: map[ident.Seat]uint64{}}
}

// requestRestore takes a node's request to restore its seat's lease. Any other content of such a log
// entry is for the leader alone to propose.
func (s *State) requestRestore(noop *wire.Noop) ledger.Code {
	if !noop.GetHeeds() || len(noop.Seats) != 1 || noop.Seats[0].GetKind() != ledger.MarkRestore {
		return ledger.Invalid
	}
	m := noop.Seats[0]
	if r := s.Ledger.RevokedLeases[ident.Seat(m.Seat)]; r != nil && r.Version == m.Version && r.Member == m.Member && r.Incarnation == m.Incarnation {
		s.restoreRequests[ident.Seat(m.Seat)] = m.Version
	}
	return ledger.Done
}

// trackLeases notes the last moment at which state could be published here on which the node of a
// revoked seat may still serve.
func (s *State) trackLeases(entry *wire.Entry, now ident.Moment) {
	for _, m := range entry.Change.GetNoop().GetSeats() {
		switch r := s.Ledger.RevokedLeases[ident.Seat(m.Seat)]; m.Kind {
		case ledger.MarkRevoke:
			if r != nil && s.revokedAt[r.Version] == 0 {
				s.revokedAt[r.Version] = now
			}
		case ledger.MarkRestore:
			delete(s.revokedAt, m.Version)
			s.backoffs[m.Member] = backoff{now, s.backoffs[m.Member].restores + 1}
		}
	}
}

// restoreRequested reports that the node itself has asked for its lease again, by way of other members.
func (s *State) restoreRequested(revoked *wire.Revoked) bool {
	confirm := s.Relay.ConfirmOf(revoked.Member)
	return confirm != nil && confirm.Incarnation == revoked.Incarnation && confirm.Restores >= revoked.Version
}

// heedsRevocation reports whether the seat's node is of a version that obeys a revocation.
func (s *State) heedsRevocation(seat *wire.Seat) bool {
	record := s.Members.Record(ident.Member(seat.Member))
	return seat.Heeds || record != nil && record.Incarnation == seat.Incarnation && record.Heeds
}

// absent reports that other members do not see a seat's node as live, or that it was not seen for a
// lease since this leader began.
func (s *State) absent(seat *wire.Seat, now ident.Moment) bool {
	leading := now.Sub(max(s.Agreement.LedSince(), s.startedAt))
	record := s.Members.Record(ident.Member(seat.Member))
	if record == nil || record.Incarnation != seat.Incarnation {
		return leading > s.Relay.LeaseDuration
	}
	return record.State != member.StateLive && leading > UnseenMemberGrace
}

// delaysChange reports that a seat has delayed a generation for half a lease.
func (s *State) delaysChange(seat *wire.Seat, now ident.Moment) bool {
	generation := s.Ledger.EffectiveGeneration
	if confirm := s.Relay.ConfirmOf(seat.Member); confirm != nil && confirm.Incarnation == seat.Incarnation {
		generation = max(generation, ident.Generation(confirm.Staged))
	}
	return generation < s.Ledger.Generation && now.Sub(max(s.appliedAt[generation+1], s.Agreement.LedSince())) > s.Relay.LeaseDuration/2
}

// seatsToRevoke lists the seats whose leases are to be revoked. A wrong guess costs the node nothing,
// because it asks for its lease again long before the lease ends. Slow seats are left alone if they are
// more than one and more than an eighth of all.
func (s *State) seatsToRevoke(now ident.Moment) []*wire.Seat {
	var away, slow []*wire.Seat
	for _, number := range ident.SortedKeys(s.Ledger.Seats) {
		seat := s.Ledger.Seats[number]
		if s.Ledger.RevokedLeases[number] != nil || !s.heedsRevocation(seat) || !s.backoffs[seat.Member].elapsed(now) {
			continue
		}
		switch {
		case s.absent(seat, now):
			away = append(away, seat)
		case s.delaysChange(seat, now):
			slow = append(slow, seat)
		}
	}
	if len(slow) > max(1, len(s.Ledger.Seats)/8) {
		slow = nil
	}
	return append(away, slow...)
}

// updateLeases revokes the leases of silent seats, fences those that can no longer serve on older state
// and restores those whose nodes are back, with at most one log entry at a time.
func (s *State) updateLeases(now ident.Moment) {
	if now.Sub(s.leasesCheckedAt) < LeaseCheckInterval || uint64(s.Ledger.Index) < s.leaseEntryIndex || s.Relay.RecentlyPaused(now) {
		return
	}
	s.leasesCheckedAt = now
	var list []*wire.SeatMark
	add := func(kind uint32, k uint32, m string, n, version uint64) {
		list = append(list, &wire.SeatMark{Seat: k, Member: m, Incarnation: n, Kind: kind, Version: version})
	}
	for _, k := range ident.SortedKeys(s.Ledger.RevokedLeases) {
		r := s.Ledger.RevokedLeases[k]
		switch {
		case s.restoreRequests[k] == r.Version || s.restoreRequested(r):
			add(ledger.MarkRestore, r.Seat, r.Member, r.Incarnation, r.Version)
		case !r.Fenced && s.leaseLapsed(s.revokedAt[r.Version], now):
			add(ledger.MarkFence, r.Seat, r.Member, r.Incarnation, r.Version)
		}
	}
	clear(s.restoreRequests)
	maps.DeleteFunc(s.backoffs, func(_ string, r backoff) bool { return now.Sub(r.restoredAt) > BackoffLifetime })
	maps.DeleteFunc(s.revokedAt, func(version uint64, _ ident.Moment) bool { return !s.isRevoked(version) })
	for _, v := range s.seatsToRevoke(now) {
		add(ledger.MarkRevoke, v.Seat, v.Member, v.Incarnation, 0)
	}
	if len(list) == 0 {
		return
	}
	if i, ok := s.Agreement.Propose(&wire.Change{Body: &wire.Change_Noop{Noop: &wire.Noop{Heeds: true, Seats: list}}}, now); ok {
		s.leaseEntryIndex = i
	}
}

// isRevoked reports whether the revocation of that version still stands.
func (s *State) isRevoked(version uint64) bool {
	for _, r := range s.Ledger.RevokedLeases {
		if r.Version == version {
			return true
		}
	}
	return false
}

// recordLeaseEntry records the changes of leases in a log entry.
func (s *State) recordLeaseEntry(noop *wire.Noop) {
	for _, m := range noop.Seats {
		seat := int(m.Seat)
		s.recordDecision(daemon.Decision{Decision: [...]string{"", "lease revoked", "seat fenced", "lease restored"}[m.Kind%4], Member: m.Member, Seat: &seat})
	}
}

// leaseStatus is the state of a seat's lease as the operators' interface names it.
func leaseStatus(revoked *wire.Revoked) string {
	switch {
	case revoked == nil:
		return "held"
	case revoked.Fenced:
		return "fenced"
	}
	return "revoked"
}
