package control

import (
	"maps"
	"time"

	"sloeturn/duty"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/member"
	"sloeturn/wire"
)

const (
	LeaseEvery = 100 * time.Millisecond
	RevokeRest = 5 * time.Second
	RestsMost  = 4
	RestLife   = 2 * time.Minute
)

// rest is when a seat's lease was last restored, and how often lately.
type rest struct {
	at    ident.Moment
	times int
}

func (r rest) over(now ident.Moment) bool {
	return r.times == 0 || now.Sub(r.at) >= RevokeRest<<min(r.times-1, RestsMost)
}

type leases struct {
	leaseAt    ident.Moment
	leaseIndex uint64
	revokedAt  map[uint64]ident.Moment
	rests      map[string]rest
	restores   map[ident.Seat]uint64
}

func newLeases() leases {
	return leases{revokedAt: map[uint64]ident.Moment{}, rests: map[string]rest{}, restores: map[ident.Seat]uint64{}}
}

// restore takes up what a revoked seat's node asks for; anything else in such an entry is the leader's own to say.
func (s *State) restore(n *wire.Noop) ledger.Code {
	if !n.GetHeeds() || len(n.Seats) != 1 || n.Seats[0].GetKind() != ledger.Restore {
		return ledger.Invalid
	}
	m := n.Seats[0]
	if r := s.Book.Revoked[ident.Seat(m.Seat)]; r != nil && r.Version == m.Version && r.Member == m.Member && r.Incarnation == m.Incarnation {
		s.restores[ident.Seat(m.Seat)] = m.Version
	}
	return ledger.Done
}

// leased notes when what a revoked seat's node may still stand on could last be published here.
func (s *State) leased(e *wire.Entry, now ident.Moment) {
	for _, m := range e.Change.GetNoop().GetSeats() {
		switch r := s.Book.Revoked[ident.Seat(m.Seat)]; m.Kind {
		case ledger.Revoke:
			if r != nil && s.revokedAt[r.Version] == 0 {
				s.revokedAt[r.Version] = now
			}
		case ledger.Restore:
			delete(s.revokedAt, m.Version)
			s.rests[m.Member] = rest{now, s.rests[m.Member].times + 1}
		}
	}
}

// asksBack says that the node itself, by way of others, has asked for the lease again.
func (s *State) asksBack(r *wire.Revoked) bool {
	c := s.Relay.ConfirmOf(r.Member)
	return c != nil && c.Incarnation == r.Incarnation && c.Restores >= r.Version
}

func (s *State) heeds(v *wire.Seat) bool {
	c := s.Members.Card(ident.Member(v.Member))
	return v.Heeds || c != nil && c.Incarnation == v.Incarnation && c.Heeds
}

// absent says that a seat's member isn't live by its watchers, or wasn't seen for a lease since this leader began.
func (s *State) absent(v *wire.Seat, now ident.Moment) bool {
	led := now.Sub(max(s.Agree.LedSince(), s.born))
	c := s.Members.Card(ident.Member(v.Member))
	if c == nil || c.Incarnation != v.Incarnation {
		return led > s.Relay.LeaseFor
	}
	return c.State != member.Live && led > UnseenWait
}

// holdsUp says that a seat has kept a generation waiting for half a lease.
func (s *State) holdsUp(v *wire.Seat, now ident.Moment) bool {
	g := s.Book.InForce
	if c := s.Relay.ConfirmOf(v.Member); c != nil && c.Incarnation == v.Incarnation {
		g = max(g, ident.Generation(c.Staged))
	}
	return g < s.Book.Generation && now.Sub(max(s.takenAt[g+1], s.Agree.LedSince())) > s.Relay.LeaseFor/2
}

// silent lists the seats whose leases are to be revoked: a wrong guess costs the node nothing, for it asks for its lease again long before it ends.
func (s *State) silent(now ident.Moment) []*wire.Seat {
	var away, slow []*wire.Seat
	for _, k := range ident.Keys(s.Book.Seats) {
		v := s.Book.Seats[k]
		if s.Book.Revoked[k] != nil || !s.heeds(v) || !s.rests[v.Member].over(now) {
			continue
		}
		switch {
		case s.absent(v, now):
			away = append(away, v)
		case s.holdsUp(v, now):
			slow = append(slow, v)
		}
	}
	if len(slow) > max(1, len(s.Book.Seats)/8) {
		slow = nil
	}
	return append(away, slow...)
}

// lease revokes the leases of silent seats, fences those that can no longer serve on older words and restores those whose nodes are back; at most one entry at a time.
func (s *State) lease(now ident.Moment) {
	if now.Sub(s.leaseAt) < LeaseEvery || uint64(s.Book.Index) < s.leaseIndex || s.Relay.Dazed(now) {
		return
	}
	s.leaseAt = now
	var list []*wire.SeatMark
	add := func(kind uint32, k uint32, m string, n, version uint64) {
		list = append(list, &wire.SeatMark{Seat: k, Member: m, Incarnation: n, Kind: kind, Version: version})
	}
	for _, k := range ident.Keys(s.Book.Revoked) {
		r := s.Book.Revoked[k]
		switch {
		case s.restores[k] == r.Version || s.asksBack(r):
			add(ledger.Restore, r.Seat, r.Member, r.Incarnation, r.Version)
		case !r.Fenced && s.lapsed(s.revokedAt[r.Version], now):
			add(ledger.Fence, r.Seat, r.Member, r.Incarnation, r.Version)
		}
	}
	clear(s.restores)
	maps.DeleteFunc(s.rests, func(_ string, r rest) bool { return now.Sub(r.at) > RestLife })
	maps.DeleteFunc(s.revokedAt, func(version uint64, _ ident.Moment) bool { return !s.standsRevoked(version) })
	for _, v := range s.silent(now) {
		add(ledger.Revoke, v.Seat, v.Member, v.Incarnation, 0)
	}
	if len(list) == 0 {
		return
	}
	if i, ok := s.Agree.Propose(&wire.Change{Body: &wire.Change_Noop{Noop: &wire.Noop{Heeds: true, Seats: list}}}, now); ok {
		s.leaseIndex = i
	}
}

func (s *State) standsRevoked(version uint64) bool {
	for _, r := range s.Book.Revoked {
		if r.Version == version {
			return true
		}
	}
	return false
}

func (s *State) loggedLeases(n *wire.Noop) {
	for _, m := range n.Seats {
		seat := int(m.Seat)
		s.decide(duty.Decision{Decision: [...]string{"", "lease revoked", "seat fenced", "lease restored"}[m.Kind%4], Member: m.Member, Seat: &seat})
	}
}

func standing(r *wire.Revoked) string {
	switch {
	case r == nil:
		return "held"
	case r.Fenced:
		return "fenced"
	}
	return "revoked"
}
