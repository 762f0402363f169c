package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/member"
	"sloeturn/wire"
)

func TestNewsGoesDownATreeOfTheNodesOwnCell(t *testing.T) {
	var ring []*wire.Card
	cells := map[string]string{}
	add := func(id, cell string, role uint32) {
		ring = append(ring, &wire.Card{Id: id, Addr: id + ":1", Cell: cell, Role: role})
		cells[id+":1"] = cell
	}
	for i := range 30 {
		add(fmt.Sprintf("n%d", i), string("abc"[i%3]), member.Data)
	}
	for i, c := range []string{"a", "a", "b", "d"} {
		add(fmt.Sprintf("h%d", i), c, member.Control)
	}
	roots, deepest := map[string]int{}, 0
	for i := range 30 {
		id := fmt.Sprintf("n%d", i)
		cell := cells[id+":1"]
		p := Path(ring, ident.Member(id))
		heads := p[len(p)-4:]
		require.ElementsMatch(t, []string{"h0:1", "h1:1", "h2:1", "h3:1"}, heads)
		deepest = max(deepest, len(p)-4)
		if len(p) == 4 {
			roots[cell]++
		}
		for _, a := range p[:len(p)-4] {
			require.Equal(t, cell, cells[a])
			require.Equal(t, byte('n'), a[0])
		}
		switch cell {
		case "a":
			require.ElementsMatch(t, []string{"h0:1", "h1:1"}, heads[:2])
		case "b":
			require.Equal(t, "h2:1", heads[0])
		}
	}
	require.Equal(t, map[string]int{"a": Roots, "b": Roots, "c": Roots}, roots)
	require.Equal(t, 1, deepest)
	require.Len(t, Path(ring, "unknown"), 4)
	require.Empty(t, Path(nil, "unknown"))
}

func TestAnAskTellsOnlyWhatTheOtherHasNotHeard(t *testing.T) {
	a, b := New("a", 1, false), New("b", 1, false)
	now := ident.Moment(1e9)
	round := func(lost bool) []string {
		now = now.Add(AskEvery)
		a.AskTo("b:1", "", now)
		q := a.Flush()[0].Frame.GetAsk()
		var told []string
		for _, c := range q.Confirms {
			told = append(told, c.Member)
		}
		if !lost {
			b.Heard(q)
			a.News(b.Answer(q, now), "b:1", now)
		}
		return told
	}
	a.Confirm(&wire.Confirm{Member: "a", Incarnation: 1})
	a.Confirm(&wire.Confirm{Member: "c", Incarnation: 1})
	require.Equal(t, []string{"a", "c"}, round(true))
	require.Equal(t, []string{"a", "c"}, round(false))
	require.Empty(t, round(false))
	a.Confirm(&wire.Confirm{Member: "c", Incarnation: 1})
	require.Empty(t, round(false))
	a.Confirm(&wire.Confirm{Member: "c", Incarnation: 1, Staged: 4})
	require.Equal(t, []string{"c"}, round(true))
	require.Equal(t, []string{"c"}, round(false))
	require.EqualValues(t, 4, b.ConfirmOf("c").Staged)
	b = New("b", 1, false)
	require.Empty(t, round(false))
	require.Equal(t, []string{"a", "c"}, round(false), "the other began anew")
	n := 0
	for range 4 * WholeEvery {
		n += len(round(false))
	}
	require.Equal(t, 8, n)
	a.Confirm(&wire.Confirm{Member: "c", Incarnation: 2, Turn: 1})
	require.Equal(t, []string{"c"}, round(false))
	a.TakeCore(&wire.Core{Version: 1, Seats: []*wire.Seat{{Member: "a", Incarnation: 1}, {Member: "c", Incarnation: 2}}}, nil, 0, now)
	require.Equal(t, []string{"a", "c"}, round(false), "seats changed hands")
}

func TestANewLifeAtAnAddressIsToldAllAgainHoweverMuchItHasFromOthers(t *testing.T) {
	a, now := New("a", 1, false), ident.Moment(1e9)
	a.Confirm(&wire.Confirm{Member: "a", Incarnation: 1, Staged: 4})
	round := func(life uint64) int {
		now = now.Add(AskEvery)
		a.AskTo("b:1", "", now)
		q := a.Flush()[0].Frame.GetAsk()
		a.Met("b:1", life)
		a.News(&wire.News{Token: q.Token, Heard: 60}, "b:1", now)
		return len(q.Confirms)
	}
	require.Equal(t, 1, round(7))
	require.Zero(t, round(7))
	require.Zero(t, round(8), "not heard of yet")
	require.Equal(t, 1, round(8))
	require.Zero(t, round(8))
}

func TestAControlProcessAsksEachForWhatItHolds(t *testing.T) {
	now := ident.Moment(1e9)
	s, other := New("h0", 1, true), New("h1", 1, true)
	ring := []*wire.Card{{Id: "h0", Addr: "h0:1"}, {Id: "h1", Addr: "h1:1"}, {Id: "h2", Addr: "h2:1"}}
	asked := func() map[string][]string {
		now = now.Add(AskEvery)
		s.Tick(ring, 0, []string{"h1:1", "h2:1"}, now)
		out := map[string][]string{}
		for _, m := range s.Flush() {
			var cells []string
			for _, c := range m.Frame.GetAsk().Cells {
				cells = append(cells, c.Cell)
			}
			out[m.To] = cells
			s.News(&wire.News{Token: m.Frame.GetAsk().Token}, m.To, now)
			if n := other.Answer(m.Frame.GetAsk(), now); m.Frame.GetAsk().Only {
				require.Len(t, n.Cells, len(cells))
			} else {
				require.Len(t, n.Cells, 3)
			}
		}
		return out
	}
	news := func(s *State, cells ...string) {
		for _, c := range cells {
			if s.Cells[ident.Cell(c)] == nil {
				s.Cells[ident.Cell(c)] = cell.NewCopy(ident.Cell(c))
			}
			n := &wire.CellNews{Cell: c, Epoch: 1}
			for p := range cell.Parts {
				n.Ranges = append(n.Ranges, &wire.Range{Part: uint32(p)})
			}
			require.True(t, s.Cells[ident.Cell(c)].Take(n, now))
		}
	}
	news(other, "a", "b", "c")
	s.TakeCore(&wire.Core{Version: 1, Holds: []*wire.Hold{{Cell: "a", Holder: "h0"}, {Cell: "b", Holder: "h1"}, {Cell: "c", Holder: "h2"}}}, nil, 0, now)
	news(s, "a", "b")
	require.Equal(t, map[string][]string{"h1:1": {"a", "b"}, "h2:1": {"a", "b"}}, asked(), "not all cells are known")
	news(s, "a", "b", "c")
	require.Equal(t, map[string][]string{"h1:1": {"b"}, "h2:1": {"c"}}, asked())
	for range 3 {
		news(s, "a", "b")
		asked()
	}
	require.Equal(t, map[string][]string{"h1:1": {"b", "c"}, "h2:1": {"c"}}, asked(), "news of c is overdue")
}

func TestAnAskIsWaitedForAndItsSlowAnswerStillCounts(t *testing.T) {
	now := ident.Moment(1e9)
	s := New("n", 1, false)
	asked := func() (out []*wire.Ask) {
		for _, m := range s.Flush() {
			out = append(out, m.Frame.GetAsk())
		}
		return out
	}
	s.Tick(nil, 1, []string{"p"}, now)
	first := asked()[0]
	for range 3 {
		now = now.Add(AskEvery)
		s.Tick(nil, 1, []string{"p"}, now)
	}
	require.Empty(t, asked(), "a second whole answer is asked for while the first is on its way")
	now = now.Add(2 * time.Second)
	s.Tick(nil, 1, []string{"p"}, now)
	require.Len(t, asked(), 1)
	s.News(&wire.News{Token: first.Token, HasCore: true, Core: &wire.Core{Version: 3}}, "p", now)
	require.True(t, s.CoreKnown)
	require.Equal(t, uint64(3), s.Core.Version)
	require.Equal(t, ident.Moment(1e9), s.CoreAsOf)
}
