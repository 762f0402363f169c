package data

import (
	"sloeturn/cell"
	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/wire"
)

// forwardedAnnouncement is a backend announcement that awaits the reply of its cell's holder.
type forwardedAnnouncement struct {
	sentAt       ident.Moment
	caller       uint64 // token of the caller that announced it to this node
	holder       string // address it was forwarded to
	announcement *wire.Announce
}

// forwardAnnouncement forwards a backend's announcement to the holder of its cell. A heartbeat that
// arrives right after this process was paused is refused, because it may have waited in a buffer.
func (s *State) forwardAnnouncement(caller uint64, announcement *wire.Announce, now ident.Moment) {
	if announcement.State == cell.Ready && s.Relay.RecentlyPaused(now) {
		s.effects = append(s.effects, AnnounceAnswered{caller, 503, "this node stood still just now; the beat may be an old one"})
		return
	}
	holder := s.holderAddr(announcement.Cell)
	if holder == "" {
		s.effects = append(s.effects, AnnounceAnswered{caller, 503, "no holder is known for cell " + announcement.Cell})
		return
	}
	announcement.Token = s.tokens.Next()
	s.forwardedAnnouncements[announcement.Token] = forwardedAnnouncement{now, caller, holder, announcement}
	s.send(holder, &wire.Frame{Body: &wire.Frame_Announce{Announce: announcement}})
}

// holderAddr returns the address of the process that holds a cell, or "" if none is known.
func (s *State) holderAddr(cellName string) string {
	for _, hold := range s.Relay.Core.GetHolds() {
		if hold.Cell != cellName {
			continue
		}
		if member := s.Members.Record(ident.Member(hold.Holder)); member != nil {
			return member.Addr
		}
	}
	return ""
}

// announcementAnswered handles a holder's reply to a forwarded announcement. Any other reply (to an
// earlier incarnation of this node, or from a process that was not asked) is counted and ignored.
func (s *State) announcementAnswered(from *wire.Frame, reply *wire.AnnounceReply) {
	pending, ok := s.forwardedAnnouncements[reply.Token]
	if !ok || pending.holder != from.Addr {
		s.StrayAnswers++
		return
	}
	delete(s.forwardedAnnouncements, reply.Token)
	if pending.announcement.State != cell.Ready {
		s.recordDecision(daemon.DeregistrationAnswered(pending.announcement, from.From, reply))
	}
	s.effects = append(s.effects, AnnounceAnswered{pending.caller, reply.Code, reply.Text})
}

// expireAnnouncements refuses announcements whose holder has not replied within AnnounceTimeout.
func (s *State) expireAnnouncements(now ident.Moment) {
	for _, token := range ident.SortedKeys(s.forwardedAnnouncements) {
		pending := s.forwardedAnnouncements[token]
		if now.Sub(pending.sentAt) > AnnounceTimeout {
			delete(s.forwardedAnnouncements, token)
			s.effects = append(s.effects, AnnounceAnswered{pending.caller, 503, "the cell's holder did not answer"})
		}
	}
}
