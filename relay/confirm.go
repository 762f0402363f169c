package relay

import (
	"sort"

	"sloeturn/wire"
)

// peerProgress tells which confirmations the process at an address has acknowledged.
type peerProgress struct {
	// confirmsUpTo is a position in confirmSequence.
	confirmsUpTo uint64
	polls        int
	incarnation  uint64
}

// ObserveIncarnation notes which incarnation of a process answers at an address. A new incarnation has
// acknowledged nothing yet, however many confirmations it has from others.
func (s *State) ObserveIncarnation(addr string, incarnation uint64) {
	if peer := s.peers[addr]; peer != nil && peer.incarnation != incarnation {
		if peer.incarnation != 0 {
			peer.confirmsUpTo = 0
		}
		peer.incarnation = incarnation
	}
}

// RecordConfirm merges a member's confirmation with what is known of the same incarnation; no value goes
// back.
func (s *State) RecordConfirm(confirm *wire.Confirm) {
	previous := s.confirms[confirm.Member]
	if previous != nil && previous.Incarnation == confirm.Incarnation {
		newest := confirm
		if previous.Turn > confirm.Turn {
			newest = previous
		}
		if confirm.Staged <= previous.Staged && confirm.Shrunk <= previous.Shrunk && confirm.Restores <= previous.Restores && newest.Turn == previous.Turn {
			return
		}
		confirm = &wire.Confirm{Member: confirm.Member, Incarnation: confirm.Incarnation, Staged: max(confirm.Staged, previous.Staged), Shrunk: max(confirm.Shrunk, previous.Shrunk), Turn: newest.Turn, Wants: newest.Wants, Restores: max(confirm.Restores, previous.Restores)}
	}
	s.confirms[confirm.Member] = confirm
	s.confirmSequence++
	s.confirmChangedAt[confirm.Member] = s.confirmSequence
}

// ConfirmOf returns the confirmation that is known of a member, or nil.
func (s *State) ConfirmOf(member string) *wire.Confirm { return s.confirms[member] }

// confirmsSince returns the confirmations that changed after a position in confirmSequence, and counts all
// that are valid. It drops those of members whose seat belongs to another incarnation.
func (s *State) confirmsSince(from uint64) (changed []*wire.Confirm, count int) {
	incarnations := map[string]uint64{}
	for _, seat := range s.Core.GetSeats() {
		incarnations[seat.Member] = seat.Incarnation
	}
	for member, confirm := range s.confirms {
		if s.CoreKnown && incarnations[member] != confirm.Incarnation && member != string(s.Self) {
			if incarnations[member] != 0 {
				delete(s.confirms, member)
				delete(s.confirmChangedAt, member)
			}
			continue
		}
		if count++; s.confirmChangedAt[member] > from {
			changed = append(changed, confirm)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].Member < changed[j].Member })
	return changed, count
}

// ReceiveConfirms records the confirmations that a poll carries.
func (s *State) ReceiveConfirms(ask *wire.Ask) {
	for _, confirm := range ask.Confirms {
		s.RecordConfirm(confirm)
	}
}
