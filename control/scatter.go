package control

import (
	"google.golang.org/protobuf/proto"

	"sloeturn/ident"
	"sloeturn/wire"
)

// gathering waits for the holders of all cells to take an announcement; it is answered 200 once all
// have, and as the first one that has not.
type gathering struct {
	pending
	left int
	over bool
}

// scatter sends an announcement that tells neither cell nor address, a sign-off by a name that no copy
// here knows, to the holders of all cells: the one that knows the backend ends it, the others bar
// its beats that are still on their way.
func (s *State) scatter(p pending, a *wire.Announce, now ident.Moment) {
	holds := s.Relay.Core.GetHolds()
	if len(holds) == 0 || !s.Relay.CoreFresh(now) {
		s.announced(p, 503, "this process doesn't know the cells just now; say it again")
		return
	}
	whole := &gathering{pending: p, left: len(holds)}
	for _, h := range holds {
		one := proto.Clone(a).(*wire.Announce)
		one.Cell = h.Cell
		s.tellHolder(pending{at: p.at, part: whole}, one, now)
	}
}

func (s *State) gather(g *gathering, code uint32, text string) {
	if g.over {
		return
	}
	if g.left--; code != 200 || g.left == 0 {
		g.over = true
		s.announced(g.pending, code, text)
	}
}
