package control

import (
	"google.golang.org/protobuf/proto"

	"sloeturn/ident"
	"sloeturn/wire"
)

// broadcast is an announcement that the holders of all cells must take. It is answered with 200 once
// all have, and otherwise as the first holder that has not.
type broadcast struct {
	pendingAnnouncement
	remaining int
	answered  bool
}

// broadcastToCells sends an announcement that names neither cell nor address, a deregistration by a
// name that no copy here knows, to the holders of all cells: the one that knows the backend ends it,
// the others bar heartbeats of it that are still under way.
func (s *State) broadcastToCells(pending pendingAnnouncement, announcement *wire.Announce, now ident.Moment) {
	holds := s.Relay.Core.GetHolds()
	if len(holds) == 0 || !s.Relay.CoreFresh(now) {
		s.answerAnnouncement(pending, 503, "this process doesn't know the cells just now; say it again")
		return
	}
	whole := &broadcast{pendingAnnouncement: pending, remaining: len(holds)}
	for _, h := range holds {
		one := proto.Clone(announcement).(*wire.Announce)
		one.Cell = h.Cell
		s.deliverToHolder(pendingAnnouncement{receivedAt: pending.receivedAt, broadcast: whole}, one, now)
	}
}

// collectAnswer takes one holder's answer to a broadcast.
func (s *State) collectAnswer(whole *broadcast, code uint32, text string) {
	if whole.answered {
		return
	}
	if whole.remaining--; code != 200 || whole.remaining == 0 {
		whole.answered = true
		s.answerAnnouncement(whole.pendingAnnouncement, code, text)
	}
}
