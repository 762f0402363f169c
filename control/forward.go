package control

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sloeturn/cell"
	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/wire"
)

// forwarded is an announcement that waits for the answer of its cell's holder.
type forwarded struct {
	parkedAnnouncement
	sentAt ident.Moment
	asked  []string // the addresses it was sent to; the holder may change meanwhile
}

// forwardToHolder passes an announcement on to the process that holds its cell.
func (s *State) forwardToHolder(pending pendingAnnouncement, announcement *wire.Announce, holder string, now ident.Moment) {
	token := s.tokens.Next()
	s.forwards[token] = &forwarded{parkedAnnouncement: parkedAnnouncement{pending, announcement}}
	s.sendForward(token, holder, now)
}

func (s *State) sendForward(token uint64, holder string, now ident.Moment) {
	f := s.forwards[token]
	f.sentAt = now
	if !slices.Contains(f.asked, holder) {
		f.asked = append(f.asked, holder)
	}
	a := proto.Clone(f.announce).(*wire.Announce)
	a.Token, a.Hops = token, f.announce.Hops+1
	s.send(holder, &wire.Frame{Body: &wire.Frame_Announce{Announce: a}})
}

// repeatForwards sends announcements again that have waited for ForwardRetryInterval, to the present
// holder of the cell.
func (s *State) repeatForwards(now ident.Moment) {
	for _, token := range ident.SortedKeys(s.forwards) {
		f := s.forwards[token]
		if now.Sub(f.sentAt) < ForwardRetryInterval || now.Sub(f.receivedAt) > MaxParkTime || s.mayBeOutdated(f.announce, now) {
			continue
		}
		f.sentAt = now
		if holder := s.holderAddress(f.announce); holder != "" {
			s.sendForward(token, holder, now)
		}
	}
}

// expireForwards refuses announcements whose holder has not answered within AnnounceTimeout.
func (s *State) expireForwards(now ident.Moment) {
	for _, token := range ident.SortedKeys(s.forwards) {
		f := s.forwards[token]
		if now.Sub(f.receivedAt) > AnnounceTimeout {
			delete(s.forwards, token)
			s.answerAnnouncement(f.pendingAnnouncement, 503, "the cell's holder did not answer")
		}
	}
}

// forwardAnswered takes a holder's answer to a forwarded announcement. Any other answer, to an earlier
// incarnation of this process or from a process that was not asked, is counted and acknowledges
// nothing.
func (s *State) forwardAnswered(from *wire.Frame, reply *wire.AnnounceReply) {
	f := s.forwards[reply.Token]
	if f == nil || !slices.Contains(f.asked, from.Addr) {
		s.StrayAnswers++
		return
	}
	delete(s.forwards, reply.Token)
	if f.announce.State != cell.Ready {
		s.recordDecision(daemon.DeregistrationAnswered(f.announce, from.From, reply))
	}
	s.answerAnnouncement(f.pendingAnnouncement, reply.Code, reply.Text)
}
