package ledger

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

type hand struct {
	*Book
	n    uint64
	docs map[ident.Generation][]byte
	read map[ident.Generation]*desired.State
}

func (h *hand) do(c *wire.Change) Result {
	h.n++
	r := h.Apply(&wire.Entry{Index: h.n, Stamp: h.n * 10, Change: c})
	if l := h.Line(h.Generation); l != nil {
		if h.docs == nil {
			h.docs, h.read = map[ident.Generation][]byte{}, map[ident.Generation]*desired.State{}
		}
		if h.docs[h.Generation] == nil {
			if s, faults := desired.Read(l.Doc); len(faults) == 0 {
				h.read[h.Generation] = s
			}
		}
		h.docs[h.Generation] = l.Doc
	}
	return r
}

func (h *hand) span(f func(g ident.Generation, s *desired.State)) {
	for g := h.Grown; g <= h.Generation; g++ {
		f(g, h.read[g])
	}
}

func (h *hand) set(nodes, slots, most int) Result {
	doc := fmt.Sprintf(`{"fleet":{"nodes":%d},"services":{"s":{"maxConnections":%d}},"tenants":{"t":{}},"lanes":{"l":{"tenant":"t","service":"s","slots":%d}}}`, nodes, most, slots)
	return h.do(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(h.Generation), ChangeId: fmt.Sprint(h.n), Doc: []byte(doc)}}})
}

func (h *hand) take(i int) Result {
	return h.do(&wire.Change{Body: &wire.Change_SeatTake{SeatTake: &wire.SeatTake{Member: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i), Incarnation: 1}}})
}

func (h *hand) grow() {
	h.do(&wire.Change{Body: &wire.Change_Mark{Mark: &wire.Mark{Grown: uint64(h.Generation), InForce: uint64(h.Generation)}}})
}

func TestFencesNeverSumPastACapWhileGenerationsChange(t *testing.T) {
	for seed := int64(0); seed < 200; seed++ {
		r := rand.New(rand.NewSource(seed))
		h := &hand{Book: NewBook()}
		held := map[ident.Seat]int{}
		most := 60
		for i := 0; i < 80; i++ {
			switch r.Intn(4) {
			case 0:
				nodes := 1 + r.Intn(8)
				h.set(nodes, 1+r.Intn(most/nodes-1), most)
			case 1:
				h.take(r.Intn(12))
			case 2:
				s := ident.Seat(r.Intn(8))
				if h.Seats[s] != nil {
					held[s] = h.allowed(s)
				}
			case 3:
				fit := true
				for s := range h.Seats {
					if held[s] > h.allowed(s) {
						fit = false
					}
				}
				if fit {
					h.grow()
				}
			}
			sum := 0
			for s := range h.Seats {
				sum += max(held[s], h.allowed(s))
			}
			require.LessOrEqual(t, sum, most, "seed %d step %d", seed, i)
		}
	}
}

func (h *hand) allowed(s ident.Seat) int {
	if !Counts(h.Core(), h.Seats[s]) {
		return 0
	}
	f := h.Floors()
	return f[Lot{"l", "s"}] + f[Lot{"", "s"}]
}

func TestASeatGoesWithItsAddressAndIsNotGivenTwice(t *testing.T) {
	h := &hand{Book: NewBook()}
	h.set(2, 3, 60)
	h.grow()
	require.Equal(t, ident.Seat(0), h.take(1).Seat)
	require.Equal(t, ident.Seat(1), h.take(2).Seat)
	require.Equal(t, NoSeat, h.take(3).Code)
	again := h.do(&wire.Change{Body: &wire.Change_SeatTake{SeatTake: &wire.SeatTake{Member: "n1", Addr: "a1", Incarnation: 2, Basis: 1}}})
	require.Equal(t, ident.Seat(0), again.Seat)
	require.Equal(t, Stale, h.take(1).Code)
	require.Equal(t, uint64(2), h.Seats[0].Incarnation)
	free := func(inc uint64) Result {
		return h.do(&wire.Change{Body: &wire.Change_SeatFree{SeatFree: &wire.SeatFree{Seat: 0, Member: "n1", Incarnation: inc}}})
	}
	require.Equal(t, Stale, free(1).Code)
	require.Equal(t, Done, free(2).Code)
	require.Equal(t, ident.Seat(0), h.take(3).Seat)
}

func TestClaimsOutliveAnImageAndAreReleasedOnlyUnsent(t *testing.T) {
	h := &hand{Book: NewBook()}
	claim := func(b *Book, v string, body string) Result {
		return b.Apply(&wire.Entry{Index: 9, Stamp: b.Stamp, Change: &wire.Change{Body: &wire.Change_Claim{Claim: &wire.Claim{Key: []byte("k"), Visit: v, Body: []byte(body)}}}})
	}
	require.Equal(t, Done, claim(h.Book, "v1", "x").Code)
	h.do(&wire.Change{Body: &wire.Change_Release{Release: &wire.Release{Key: []byte("k"), Visit: "v0"}}})
	require.Equal(t, Claimed, claim(h.Book, "v2", "x").Code)
	require.Equal(t, Invalid, claim(h.Book, "v2", "y").Code)
	b, err := ReadBook(h.Image())
	require.NoError(t, err)
	require.Equal(t, Claimed, claim(b, "v2", "x").Code)
	h.do(&wire.Change{Body: &wire.Change_Release{Release: &wire.Release{Key: []byte("k"), Visit: "v1"}}})
	require.Equal(t, Lost, claim(h.Book, "v1", "x").Code)
	require.Equal(t, Done, claim(h.Book, "v2", "x").Code)
	h.do(&wire.Change{Body: &wire.Change_Outcome{Outcome: &wire.Outcome{Key: []byte("k"), Visit: "v2", Status: 201}}})
	require.Equal(t, uint32(201), claim(h.Book, "v3", "x").Status)
	h.Apply(&wire.Entry{Index: 99, Stamp: h.Stamp + ClaimLifeMs + 1, Change: &wire.Change{Body: &wire.Change_Noop{Noop: &wire.Noop{}}}})
	require.Empty(t, h.Claims)
}

func (h *hand) open(slots, most int, more string) Result {
	doc := fmt.Sprintf(`{%s"fleet":{"open":true},"services":{"s":{"maxConnections":%d}},"tenants":{"t":{}},"lanes":{"l":{"tenant":"t","service":"s","slots":%d}}}`, more, most, slots)
	return h.do(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(h.Generation), ChangeId: fmt.Sprint(h.n), Doc: []byte(doc)}}})
}

func TestAnOpenFleetGivesAsManySeatsAsItsCapsAllow(t *testing.T) {
	h := &hand{Book: NewBook()}
	h.open(2, 12, "")
	h.grow()
	for i := 0; i < 4; i++ {
		require.Equal(t, ident.Seat(i), h.take(i).Seat)
	}
	require.Equal(t, NoSeat, h.take(4).Code)

	h.open(2, 24, "")
	require.Equal(t, 4, h.SeatCount())
	require.Equal(t, NoSeat, h.take(4).Code)
	h.grow()
	require.Equal(t, 8, h.SeatCount())
	require.Equal(t, Done, h.take(4).Code)
	require.Equal(t, Done, h.take(5).Code)

	h.open(2, 15, "")
	require.Equal(t, 5, h.SeatCount())
	require.True(t, Counts(h.Core(), h.Seats[4]))
	require.False(t, Counts(h.Core(), h.Seats[5]))
	require.Equal(t, NoSeat, h.take(6).Code)
	h.open(4, 15, "")
	require.Equal(t, 3, h.SeatCount())
	require.Equal(t, 2, h.Floors()[Lot{"l", "s"}])
	require.LessOrEqual(t, h.SeatCount()*h.allowed(0), 15)
	h.grow()
	require.Equal(t, 4, h.Floors()[Lot{"l", "s"}])

	h.set(2, 4, 15)
	require.Equal(t, 2, h.SeatCount())
	h.grow()
	h.open(1, 15, "")
	require.Equal(t, 2, h.SeatCount())
	b, err := ReadBook(h.Image())
	require.NoError(t, err)
	require.Equal(t, 2, b.SeatCount())
}

func TestAnOpenFleetKeepsItsCapWhileStatesChange(t *testing.T) {
	for seed := int64(0); seed < 200; seed++ {
		r := rand.New(rand.NewSource(seed))
		h := &hand{Book: NewBook()}
		held := map[ident.Seat]int{}
		least := 0
		for i := 0; i < 80; i++ {
			switch r.Intn(5) {
			case 0:
				most := 40 + r.Intn(40)
				if r.Intn(3) == 0 {
					nodes := 1 + r.Intn(8)
					h.set(nodes, 1+r.Intn(most/nodes-1), most)
				} else {
					h.open(1+r.Intn(30), most, "")
				}
			case 1, 2:
				h.take(r.Intn(40))
			case 3:
				for s := range h.Seats {
					if r.Intn(2) == 0 {
						held[s] = h.allowed(s)
					}
				}
			case 4:
				fit := true
				for s := range h.Seats {
					fit = fit && held[s] <= h.allowed(s)
				}
				if fit {
					h.grow()
				}
			}
			least = 0
			h.span(func(g ident.Generation, s *desired.State) {
				if s != nil {
					least = max(least, s.Services["s"].MaxConnections)
				}
			})
			sum, new := 0, 0
			for s := range h.Seats {
				sum += max(held[s], h.allowed(s))
				new += h.allowed(s)
			}
			require.LessOrEqual(t, sum, least, "seed %d step %d", seed, i)
			if s := h.State(h.Generation); s != nil {
				require.LessOrEqual(t, new, s.Services["s"].MaxConnections, "seed %d step %d", seed, i)
			}
		}
	}
}

func TestANamedServiceHasNoProbeLot(t *testing.T) {
	h := &hand{Book: NewBook()}
	set := func(named bool) {
		doc := fmt.Sprintf(`{"fleet":{"open":true},"services":{"s":{"maxConnections":12,"named":%v}},"tenants":{"t":{}},"lanes":{"l":{"tenant":"t","service":"s","slots":2}}}`, named)
		h.do(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(h.Generation), ChangeId: fmt.Sprint(h.n), Doc: []byte(doc)}}})
	}
	set(false)
	h.grow()
	require.Equal(t, map[Lot]int{{"l", "s"}: 2, {"", "s"}: 1}, h.Floors())
	set(true)
	require.Equal(t, map[Lot]int{{"l", "s"}: 2}, h.Floors())
	require.Equal(t, 4, h.SeatCount())
	h.grow()
	require.Equal(t, 6, h.SeatCount())
	require.Equal(t, map[Lot]int{{"l", "s"}: 2}, h.Floors())
	set(false)
	require.Equal(t, map[Lot]int{{"l", "s"}: 2}, h.Floors())
	require.Equal(t, 4, h.SeatCount())
}

func TestTheBookKnowsEachGenerationsEdition(t *testing.T) {
	h := &hand{Book: NewBook()}
	require.Zero(t, h.Edition(0))
	h.open(2, 12, "")
	h.open(2, 12, `"edition":41,`)
	require.Equal(t, []uint64{0, 41, 0}, []uint64{h.Edition(1), h.Edition(2), h.Edition(3)})
	h.open(9, 1, `"edition":42,`)
	require.Nil(t, h.State(3))
	require.Equal(t, uint64(42), h.Edition(3))
}

func TestPeriodsAndHeldChangesLiveThroughAnImage(t *testing.T) {
	h := &hand{Book: NewBook()}
	h.set(1, 1, 9)
	old, err := ReadBook(h.Image())
	require.NoError(t, err)
	require.Empty(t, old.Held)
	require.Zero(t, old.Turn)
	turn := func(kind uint32, until int64) Code {
		return h.do(&wire.Change{Body: &wire.Change_PeriodTurn{PeriodTurn: &wire.PeriodTurn{Turn: h.Turn, Region: "r", Kind: kind, FromMs: 10, UntilMs: until}}}).Code
	}
	hold := func(id string, doc string) Result {
		return h.do(&wire.Change{Body: &wire.Change_HoldBack{HoldBack: &wire.HoldBack{Basis: uint64(h.Generation), Turn: h.Turn, Doc: []byte(doc), Held: &wire.Held{ChangeId: id, Patch: []byte("{}"), Edition: 7}}}})
	}
	require.Equal(t, Stale, turn(Closed, 0))
	require.Equal(t, Done, turn(Opened, 20))
	require.Equal(t, Stale, turn(Opened, 30))
	require.Equal(t, Stale, turn(TakenBack, 30))
	require.Equal(t, Stale, turn(9, 30))
	require.Equal(t, Done, turn(Lengthened, 25))
	require.Equal(t, Held, hold("one", "").Code)
	require.Equal(t, uint64(1), hold("one", "").Place)
	require.Equal(t, Done, hold("two", string(h.Line(1).Doc)).Code)
	require.Equal(t, Held, hold("three", "").Code)
	stale := h.do(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(h.Generation), ChangeId: "beside"}}})
	require.Equal(t, Stale, stale.Code)
	require.Equal(t, Done, h.do(&wire.Change{Body: &wire.Change_TakeOut{TakeOut: &wire.TakeOut{Basis: uint64(h.Generation), Turn: h.Turn, Place: 3, ChangeId: "out"}}}).Code)
	b, err := ReadBook(h.Image())
	require.NoError(t, err)
	require.Equal(t, h.Image(), b.Image())
	require.Equal(t, []string{"r"}, b.OpenRegions())
	require.True(t, b.TookOut("out"))
	require.Equal(t, uint64(7), b.Floor)
	require.Len(t, b.Held, 2)
	h.Book = b
	require.Equal(t, Done, turn(Closed, 0))
	require.Equal(t, Stale, turn(Opened, 25))
	require.Equal(t, Stale, h.do(&wire.Change{Body: &wire.Change_Land{Land: &wire.Land{Basis: 1, Turn: h.Turn}}}).Code)
	r := h.do(&wire.Change{Body: &wire.Change_Land{Land: &wire.Land{Basis: 2, Turn: h.Turn, Doc: h.Line(1).Doc, Places: []uint64{1}}}})
	require.Equal(t, ident.Generation(3), r.Generation)
	require.Empty(t, h.Held)
	require.Equal(t, uint64(3), h.ByChange("one").Generation)
	require.Equal(t, Done, hold("one", "").Code)
}

func TestAHolderThatFollowsItselfKeepsItsChain(t *testing.T) {
	b := NewBook()
	i := uint64(0)
	hold := func(who, addr string, life, basis uint64) *wire.Hold {
		i++
		b.Apply(&wire.Entry{Index: i, Change: &wire.Change{Body: &wire.Change_CellHold{CellHold: &wire.CellHold{Cell: "a", Holder: who, Addr: addr, Incarnation: life, Basis: basis}}}})
		return b.Holds["a"]
	}
	require.EqualValues(t, 1, hold("one", "x", 1, 0).Since)
	require.EqualValues(t, 1, hold("one", "x", 2, 1).Since)
	require.EqualValues(t, 1, hold("one", "x", 3, 2).Since)
	require.EqualValues(t, 4, hold("one", "y", 4, 3).Since, "another address proves nothing of the old one")
	require.EqualValues(t, 5, hold("two", "x", 5, 4).Since)
	require.EqualValues(t, 6, hold("one", "y", 6, 5).Since)
	b.Holds["a"] = &wire.Hold{Cell: "a", Holder: "one", Epoch: 6}
	require.EqualValues(t, 7, hold("one", "", 7, 6).Since, "a hold of older books says nothing")
}
