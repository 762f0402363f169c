package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sloeturn/ident"
	"sloeturn/wire"
)

func seatsOf(n int) []*wire.Seat {
	var out []*wire.Seat
	for i := range n {
		out = append(out, &wire.Seat{Seat: uint32(i), Member: fmt.Sprintf("edge-somewhere-%d", i), Addr: fmt.Sprintf("10.0.0.%d:7721", i), Incarnation: 1 << 60, Heeds: true})
	}
	return out
}

// nextCore is a later core that differs in some seats, floors or neither.
func nextCore(t *rapid.T, c *wire.Core) *wire.Core {
	n := &wire.Core{Version: c.Version + uint64(rapid.IntRange(1, 3).Draw(t, "step")), Floors: c.Floors, Generation: c.Generation}
	for _, v := range c.Seats {
		switch rapid.IntRange(0, 9).Draw(t, "seat") {
		case 0:
		case 1:
			n.Seats = append(n.Seats, &wire.Seat{Seat: v.Seat, Member: v.Member, Addr: v.Addr, Incarnation: v.Incarnation + 1, Heeds: v.Heeds})
		default:
			n.Seats = append(n.Seats, v)
		}
	}
	if rapid.Bool().Draw(t, "more") {
		k := uint32(0)
		for _, v := range n.Seats {
			if v.Seat == k {
				k++
			}
		}
		n.Seats = append(n.Seats, &wire.Seat{Seat: k, Member: fmt.Sprintf("new-%d", n.Version)})
		for i := len(n.Seats) - 1; i > 0 && n.Seats[i].Seat < n.Seats[i-1].Seat; i-- {
			n.Seats[i], n.Seats[i-1] = n.Seats[i-1], n.Seats[i]
		}
	}
	if rapid.IntRange(0, 3).Draw(t, "floors") == 0 {
		n.Floors = []*wire.Floor{{Lane: "l", Service: "s", Slots: uint32(n.Version)}}
	}
	if rapid.Bool().Draw(t, "revoked") {
		n.Revoked = []*wire.Revoked{{Seat: 1, Member: "m", Version: n.Version}}
	}
	return n
}

func TestACoreByChangesIsTheCoreOverAnyWayThroughTheTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &wire.Core{Version: 1, Seats: seatsOf(rapid.IntRange(0, 6).Draw(t, "seats")), Floors: []*wire.Floor{{Lane: "l", Service: "s", Slots: 1}}}
		cores := map[uint64]*wire.Core{1: c}
		var all []*State
		for i := range 5 {
			all = append(all, New(ident.Member(fmt.Sprint("n", i)), 1, i == 0))
		}
		now := ident.Moment(1e9)
		all[0].TakeCore(c, nil, 0, now)
		pending := map[int][]*wire.Frame{}
		for range rapid.IntRange(1, 40).Draw(t, "moves") {
			now = now.Add(AskEvery)
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				c = nextCore(t, c)
				cores[c.Version] = c
				all[0].TakeCore(c, nil, 0, now)
				continue
			}
			i, j := rapid.IntRange(1, 4).Draw(t, "asker"), rapid.IntRange(0, 4).Draw(t, "asked")
			if i == j {
				continue
			}
			all[i].AskTo(fmt.Sprint(j), "", now)
			q := all[i].Flush()[0].Frame.GetAsk()
			raw, err := proto.Marshal(all[j].Answer(q, now))
			require.NoError(t, err)
			n := &wire.News{}
			require.NoError(t, proto.Unmarshal(raw, n))
			pending[i] = append(pending[i], &wire.Frame{From: fmt.Sprint(j), Body: &wire.Frame_News{News: n}})
			if list := pending[i]; rapid.Bool().Draw(t, "deliver") {
				k := rapid.IntRange(0, len(list)-1).Draw(t, "which")
				all[i].News(list[k].GetNews(), list[k].From, now)
				pending[i] = append(list[:k:k], list[k+1:]...)
			}
			for k, s := range all {
				require.False(t, s.whole, "what changed always fits the core of the same log")
				if s.CoreKnown {
					want := cores[s.Core.Version]
					require.NotNil(t, want)
					require.True(t, proto.Equal(want, s.Core), "%d: %v is not %v", k, s.Core, want)
				}
			}
		}
	})
}

func TestASeatThatChangesHandsCostsItselfNotTheWholeCore(t *testing.T) {
	a, b := New("a", 1, true), New("b", 1, false)
	now := ident.Moment(1e9)
	c := &wire.Core{Version: 1, Seats: seatsOf(92)}
	for i, v := range c.Seats {
		b.Confirm(&wire.Confirm{Member: v.Member, Incarnation: v.Incarnation, Turn: uint64(i)})
	}
	a.TakeCore(c, nil, 0, now)
	round := func() (up, down int) {
		now = now.Add(AskEvery)
		b.AskTo("a:1", "", now)
		q := b.Flush()[0].Frame.GetAsk()
		a.Heard(q)
		n := a.Answer(q, now)
		b.News(n, "a:1", now)
		return proto.Size(q), proto.Size(n)
	}
	_, whole := round()
	round()
	for k := range 5 {
		n := &wire.Core{Version: c.Version + 1, Seats: append([]*wire.Seat(nil), c.Seats...), Revoked: []*wire.Revoked{{Seat: uint32(k), Member: "m", Version: c.Version + 1}}}
		n.Seats[k] = &wire.Seat{Seat: uint32(k), Member: n.Seats[k].Member, Incarnation: 9}
		c = n
		a.TakeCore(c, nil, 0, now)
		up, down := round()
		require.Less(t, down, whole/10, "one seat of 92")
		if k > 0 {
			require.Less(t, up, 500, "the confirms of the other seats need no telling again")
		}
		require.True(t, proto.Equal(c, b.Core))
	}
}

func TestAChangeThatDoesNotFitIsNoWordAndTheWholeIsAskedForNext(t *testing.T) {
	a, b := New("a", 1, true), New("b", 1, false)
	now := ident.Moment(1e9)
	a.TakeCore(&wire.Core{Version: 1, Seats: seatsOf(3)}, nil, 0, now)
	ask := func() *wire.Ask {
		now = now.Add(AskEvery)
		b.AskTo("a:1", "", now)
		return b.Flush()[0].Frame.GetAsk()
	}
	b.News(a.Answer(ask(), now), "a:1", now)
	at := b.CoreAsOf
	b.Core.Seats[0] = &wire.Seat{Seat: 0, Member: "gone wrong"}
	a.Core = proto.Clone(a.Core).(*wire.Core)
	a.Core.Seats[0].Member = "edge-somewhere-0"
	n := proto.Clone(a.Core).(*wire.Core)
	n.Version = 2
	n.Seats[1].Incarnation++
	a.TakeCore(n, nil, 0, now)
	q := ask()
	require.EqualValues(t, 1, q.Core)
	b.News(a.Answer(q, now), "a:1", now)
	require.EqualValues(t, 1, b.Core.Version)
	require.Equal(t, at, b.CoreAsOf, "a word that doesn't fit renews nothing")
	q = ask()
	require.Zero(t, q.Core)
	b.News(a.Answer(q, now), "a:1", now)
	require.True(t, proto.Equal(n, b.Core))
	require.EqualValues(t, 2, ask().Core)
}

func TestAChangeOfACoreThatIsNotKnownIsNoWord(t *testing.T) {
	b := New("b", 1, false)
	now := ident.Moment(1e9)
	b.AskTo("a:1", "", now)
	q := b.Flush()[0].Frame.GetAsk()
	require.NotNil(t, b.News(&wire.News{Token: q.Token, HasCore: true, Core: &wire.Core{Version: 4, Base: 3}}, "a:1", now))
	require.False(t, b.CoreKnown)
}

func TestOneThatDoesNotSaySoIsGivenTheWholeCore(t *testing.T) {
	a := New("a", 1, true)
	now := ident.Moment(1e9)
	a.TakeCore(&wire.Core{Version: 1, Seats: seatsOf(3)}, nil, 0, now)
	a.TakeCore(&wire.Core{Version: 2, Seats: seatsOf(4)}, nil, 0, now)
	require.Zero(t, a.Answer(&wire.Ask{Core: 1}, now).Core.Base)
	require.Len(t, a.Answer(&wire.Ask{Core: 1}, now).Core.Seats, 4)
	require.EqualValues(t, 1, a.Answer(&wire.Ask{Core: 1, Deltas: true}, now).Core.Base)
}
