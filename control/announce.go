package control

import (
	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/relay"
	"sloeturn/wire"
)

// announceLocal takes an announcement that was received here.
func (s *State) announceLocal(token uint64, announcement *wire.Announce, now ident.Moment) {
	if s.mayBeOutdated(announcement, now) {
		s.answerAnnouncement(pendingAnnouncement{receivedAt: now, token: token}, 503, "this process stood still just now; the beat may be an old one")
		return
	}
	s.routeAnnouncement(pendingAnnouncement{receivedAt: now, token: token}, announcement, now)
}

// mayBeOutdated reports a heartbeat that may have been delayed while this process was suspended.
func (s *State) mayBeOutdated(announcement *wire.Announce, now ident.Moment) bool {
	return announcement.State == cell.Ready && s.Relay.RecentlyPaused(now)
}

// announceRemote takes an announcement that another control process has forwarded.
func (s *State) announceRemote(from string, announcement *wire.Announce, now ident.Moment) {
	s.routeAnnouncement(pendingAnnouncement{receivedAt: now, replyTo: from, token: announcement.Token}, announcement, now)
}

// answerAnnouncement answers an announcement to wherever it came from.
func (s *State) answerAnnouncement(pending pendingAnnouncement, code uint32, text string) {
	if pending.broadcast != nil {
		s.collectAnswer(pending.broadcast, code, text)
		return
	}
	if pending.replyTo == "" {
		s.output = append(s.output, AnnounceResult{pending.token, code, text})
		return
	}
	s.send(pending.replyTo, &wire.Frame{Body: &wire.Frame_AnnounceReply{AnnounceReply: &wire.AnnounceReply{Token: pending.token, Code: code, Text: text}}})
}

// routeAnnouncement delivers an announcement to the holder of its cell, or to all holders if it names
// no cell.
func (s *State) routeAnnouncement(pending pendingAnnouncement, announcement *wire.Announce, now ident.Moment) {
	if announcement.Cell == "" {
		s.broadcastToCells(pending, announcement, now)
		return
	}
	s.deliverToHolder(pending, announcement, now)
}

// deliverToHolder applies an announcement if this process holds its cell, forwards it to the holder, or
// parks it while there is none.
func (s *State) deliverToHolder(pending pendingAnnouncement, announcement *wire.Announce, now ident.Moment) {
	name := ident.Cell(announcement.Cell)
	if held := s.activeCell(name, now); held != nil {
		if !held.table.HandleAnnounce(announcement, now) {
			s.answerAnnouncement(pending, 503, "older than what is known of this address; say it again")
			return
		}
		s.recordMoves(held)
		s.copyCell(name, held, now)
		if announcement.State == cell.Ready || s.isMajority(nil) && !s.KeepsCopies {
			s.answerAnnouncement(pending, 200, "")
			return
		}
		held.drains = append(held.drains, &pendingDrain{pending, held.table.Version(), map[string]bool{}})
		s.saveCopies(now)
		return
	}
	if held := s.heldCells[name]; held != nil && held.successor != nil {
		s.forwardToHolder(pending, announcement, held.successor.Addr, now)
		return
	}
	if held := s.heldCells[name]; held != nil && now.Sub(s.Relay.CoreAsOf) < relay.HolderLease {
		if held.table.HandleAnnounce(announcement, now) && announcement.State == cell.Ready {
			s.answerAnnouncement(pending, 200, "")
		} else {
			s.park(pending, announcement, "the holder of cell "+announcement.Cell+" starts in a moment", now)
		}
		return
	}
	if holder := s.holderAddress(announcement); holder != "" {
		s.forwardToHolder(pending, announcement, holder, now)
		return
	}
	s.park(pending, announcement, "cell "+announcement.Cell+" has no holder just now", now)
}

// holderAddress is the address of the holder of an announcement's cell, if it is another process and
// the announcement may be forwarded once more.
func (s *State) holderAddress(announcement *wire.Announce) string {
	for _, hold := range s.Relay.Core.GetHolds() {
		if hold.Cell != announcement.Cell {
			continue
		}
		record := s.Members.Record(ident.Member(hold.Holder))
		if record == nil || hold.Holder == string(s.Member) || announcement.Hops >= MaxForwardHops {
			break
		}
		return record.Addr
	}
	return ""
}

// park keeps an announcement until its cell has a holder, for at most MaxParkTime.
func (s *State) park(pending pendingAnnouncement, announcement *wire.Announce, why string, now ident.Moment) {
	if now.Sub(pending.receivedAt) >= MaxParkTime || len(s.parked) >= MaxParkedAnnouncements || s.draining {
		s.answerAnnouncement(pending, 503, why)
		return
	}
	s.parked = append(s.parked, parkedAnnouncement{pending, announcement})
}

// retryParked routes the parked announcements again.
func (s *State) retryParked(now ident.Moment) {
	list := s.parked
	s.parked = nil
	for _, waiting := range list {
		held := s.heldCells[ident.Cell(waiting.announce.Cell)]
		switch {
		case s.mayBeOutdated(waiting.announce, now):
			s.answerAnnouncement(waiting.pendingAnnouncement, 503, "this process stood still just now; the beat may be an old one")
		case held != nil && held.successor == nil && now.Before(held.answersFrom) && now.Sub(waiting.receivedAt) < MaxParkTime:
			s.parked = append(s.parked, waiting)
		default:
			s.routeAnnouncement(waiting.pendingAnnouncement, waiting.announce, now)
		}
	}
	s.repeatForwards(now)
}

// recordDrainAcks notes that a voter has a cell's table up to some version. It does not count a voter
// that already knows of a later holder.
func (s *State) recordDrainAcks(from string, ask *wire.Ask, now ident.Moment) {
	id := s.voterID(ask.Voter, from)
	if id == "" {
		return
	}
	for _, have := range ask.Cells {
		held := s.heldCells[ident.Cell(have.Cell)]
		if held == nil || uint64(held.epoch) != have.Epoch || have.Promised > have.Epoch {
			continue
		}
		for _, drain := range held.drains {
			if have.Upto >= drain.upTo {
				drain.voters[id] = true
			}
		}
		s.answerDrains(held, now)
	}
}

// answerDrains acknowledges a drain or deregistration once a majority of voters and this disk have it,
// so that no later holder can forget it. A slow disk is not waited for beyond CopySaveWait.
func (s *State) answerDrains(held *heldCell, now ident.Moment) {
	leaseValid := now.Sub(s.Relay.CoreAsOf) < relay.HolderLease
	remaining := held.drains[:0]
	for _, drain := range held.drains {
		switch {
		case leaseValid && s.isMajority(drain.voters) && (!s.KeepsCopies || held.savedUpTo >= drain.upTo || now.Sub(drain.receivedAt) > CopySaveWait):
			s.answerAnnouncement(drain.pendingAnnouncement, 200, "")
		case now.Sub(drain.receivedAt) > DrainAckTimeout:
			s.answerAnnouncement(drain.pendingAnnouncement, 503, "heard, but not yet by those that must not forget it; say it again")
		default:
			remaining = append(remaining, drain)
		}
	}
	held.drains = remaining
}
