package ledger

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

func (h *hand) try(id, more string, only ...string) Result {
	doc := fmt.Sprintf(`{"fleet":{"nodes":1},"services":{"s":{"maxConnections":60}},"tenants":{"t":{}%s},"lanes":{"l":{"tenant":"t","service":"s","slots":1}}}`, more)
	return h.do(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(h.Generation), ChangeId: id, Doc: []byte(doc), Only: only}}})
}

func TestAChangeSentAgainIsKnownAfterHundredsOfOthers(t *testing.T) {
	h := &hand{Book: NewBook()}
	require.EqualValues(t, 1, h.try("first", "").Generation)
	h.grow()
	for i := 0; i < 500; i++ {
		h.try(fmt.Sprint("other-", i), "")
		h.grow()
	}
	again := func(b *Book) Result {
		return b.Apply(&wire.Entry{Index: 9999, Change: &wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{ChangeId: "first"}}}})
	}
	require.Equal(t, Result{Generation: 1}, again(h.Book))
	b, err := ReadBook(h.Image())
	require.NoError(t, err)
	require.Equal(t, Result{Generation: 1}, again(b))
	require.EqualValues(t, 501, b.Generation)
}

func TestASilentSeatDoesNotMakeTheImageGrow(t *testing.T) {
	h := &hand{Book: NewBook()}
	size := 0
	for i := 0; i < 3000; i++ {
		h.set(1+i%3, 1+i%5, 60)
		if i == 199 {
			size = len(h.Image())
		}
	}
	require.Less(t, len(h.Image()), size+2800*48, "beside the ids")
	require.LessOrEqual(t, len(h.History), HistoryKept)
}

func TestTrialsAndWithdrawalsSentAgainAreNotTakenTwice(t *testing.T) {
	h := &hand{Book: NewBook()}
	h.try("base", "")
	withdraw := func(id string) Result {
		return h.do(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(h.Generation), ChangeId: id, Withdraw: true}}})
	}
	require.Equal(t, Done, h.try("one", "", "n1").Code)
	require.Equal(t, Done, withdraw("end").Code)
	require.Equal(t, Done, h.try("one", "", "n1").Code)
	require.Nil(t, h.Trial, "the trial was withdrawn before it was sent again")
	require.Equal(t, Done, h.try("two", "", "n1").Code)
	require.Equal(t, Done, withdraw("end").Code)
	require.Equal(t, "two", h.Trial.GetChangeId(), "a later trial isn't ended by a withdrawal sent again")
	h.try("more", "")
	require.Equal(t, Result{Generation: 1}, h.do(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: 1, ChangeId: "two", Only: []string{"n1"}}}}))
}

func TestAnIdOfALandingIsNobodysChange(t *testing.T) {
	h := &hand{Book: NewBook()}
	h.try("base", "")
	h.do(&wire.Change{Body: &wire.Change_HoldBack{HoldBack: &wire.HoldBack{Basis: 1, Held: &wire.Held{ChangeId: "held", Patch: []byte("{}")}}}})
	h.do(&wire.Change{Body: &wire.Change_Land{Land: &wire.Land{Basis: 1, Turn: h.Turn, Doc: h.Line(1).Doc, Places: []uint64{1}}}})
	require.EqualValues(t, 2, h.ByChange("held").Generation)
	r := h.do(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: 2, Turn: h.Turn, ChangeId: "landing-2", Doc: h.Line(1).Doc}}})
	require.EqualValues(t, 3, r.Generation)
}

// plainly computes the law from whole documents, as it is defined.
func (h *hand) plainly() (map[Lot]int, int) {
	out, n, first := map[Lot]int{}, -1, true
	h.span(func(g ident.Generation, s *desired.State) {
		now, k := map[Lot]int{}, 0
		if s != nil {
			now, k = Slots(s), s.Seats()
		}
		if n < 0 || k < n {
			n = k
		}
		if first {
			out, first = now, false
			return
		}
		for l, v := range out {
			if out[l] = min(v, now[l]); out[l] == 0 {
				delete(out, l)
			}
		}
	})
	return out, n
}

func TestTheLawFromStepsIsTheLawFromDocuments(t *testing.T) {
	for seed := int64(0); seed < 100; seed++ {
		r := rand.New(rand.NewSource(seed))
		h := &hand{Book: NewBook()}
		for i := 0; i < 120; i++ {
			switch r.Intn(8) {
			case 0:
				if h.Generation > h.Grown && r.Intn(3) == 0 {
					g := uint64(h.Grown) + 1 + uint64(r.Intn(int(h.Generation-h.Grown)))
					h.do(&wire.Change{Body: &wire.Change_Mark{Mark: &wire.Mark{Grown: g, InForce: g}}})
				}
			case 1:
				b, err := ReadBook(h.Image())
				require.NoError(t, err)
				require.Equal(t, h.Image(), b.Image())
				h.Book = b
			case 2:
				h.open(1+r.Intn(3), 12+r.Intn(30), "")
			case 3:
				h.open(9, 1, "")
			default:
				lanes, services := "", ""
				for k := 0; k < 4; k++ {
					if r.Intn(3) > 0 {
						lanes += fmt.Sprintf(`,"l%d":{"tenant":"t","service":"s%d","slots":%d}`, k, k%2, 1+r.Intn(9))
					}
				}
				for k := 0; k < 2; k++ {
					services += fmt.Sprintf(`,"s%d":{"maxConnections":999,"named":%v}`, k, r.Intn(4) > 0)
				}
				if lanes == "" {
					continue
				}
				doc := fmt.Sprintf(`{"fleet":{"nodes":%d},"services":{%s},"tenants":{"t":{}},"lanes":{%s}}`, 1+r.Intn(5), services[1:], lanes[1:])
				h.do(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: uint64(h.Generation), ChangeId: fmt.Sprint(h.n), Doc: []byte(doc)}}})
			}
			floors, seats := h.plainly()
			require.Equal(t, floors, h.Floors(), "seed %d step %d", seed, i)
			require.Equal(t, seats, h.SeatCount(), "seed %d step %d", seed, i)
		}
	}
}

func TestAnImageOfOlderBooksStillReads(t *testing.T) {
	h := &hand{Book: NewBook()}
	old := &wire.Image{Generation: 5, InForce: 3, Grown: 3, TakenOut: []string{"out"}, Trial: &wire.Trial{ChangeId: "tried", Basis: 5, Only: []string{"n1"}}, Held: []*wire.Held{{Place: 4, ChangeId: "held"}}}
	for g := uint64(1); g <= 5; g++ {
		h.set(int(g), 6-int(g), 60)
		l := proto.Clone(h.Line(ident.Generation(g))).(*wire.DesiredLine)
		if l.ChangeId = fmt.Sprint("c", g); g == 2 {
			l.Changes = []string{"landed"}
		}
		old.History = append(old.History, l)
	}
	h.Grown = 3
	floors, seats := h.plainly()
	image, err := proto.Marshal(old)
	require.NoError(t, err)
	b, err := ReadBook(image)
	require.NoError(t, err)
	require.Equal(t, floors, b.Floors())
	require.Equal(t, seats, b.SeatCount())
	for _, g := range []uint64{1, 3, 4, 5} {
		require.Equal(t, g, b.ByChange(fmt.Sprint("c", g)).Generation)
	}
	require.EqualValues(t, 2, b.ByChange("landed").Generation)
	require.True(t, b.TookOut("out"))
	require.NotNil(t, b.Taken("tried"))
	require.NotNil(t, b.Taken("held"))
	require.Nil(t, b.ByChange("held"))
}

func TestIdsAreForgottenOldestFirstAndOnlyBeyondTheBound(t *testing.T) {
	b := NewBook()
	for i := 0; i < KeysKept+10; i++ {
		b.remember(fmt.Sprint(i), Key{Kind: Changed, Generation: uint64(i + 1)})
	}
	require.Nil(t, b.Taken("9"))
	require.EqualValues(t, 11, b.Taken("10").Generation)
	require.EqualValues(t, KeysKept+10, b.Taken(fmt.Sprint(KeysKept+9)).Generation)
	c, err := ReadBook(b.Image())
	require.NoError(t, err)
	require.Equal(t, b.Image(), c.Image())
	require.Nil(t, c.Taken("9"))
	require.EqualValues(t, 11, c.Taken("10").Generation)
	require.Less(t, len(b.Image()), 34*KeysKept)
}

func TestFoldedStepsOnlyEverLendLess(t *testing.T) {
	h := &hand{Book: NewBook()}
	h.set(1, 1, 999)
	h.grow()
	for i := 2; i < 3*StepsMost; i++ {
		h.set(1, i, 999)
	}
	at := h.Generation
	for g := ident.Generation(2); g <= at; g++ {
		h.do(&wire.Change{Body: &wire.Change_Mark{Mark: &wire.Mark{Grown: uint64(g)}}})
		floors, _ := h.plainly()
		require.LessOrEqual(t, h.Floors()[Lot{"l", "s"}], floors[Lot{"l", "s"}], "generation %d", g)
	}
	require.Equal(t, 3*StepsMost-1, h.Floors()[Lot{"l", "s"}])
}

func TestAnImageWithTornKeysOrStepsIsRefused(t *testing.T) {
	h := &hand{Book: NewBook()}
	h.set(1, 2, 60)
	h.grow()
	h.set(1, 4, 60)
	for name, spoil := range map[string]func(m *wire.Image){
		"newer":  func(m *wire.Image) { m.Format++ },
		"ids":    func(m *wire.Image) { m.Keys.Ids = m.Keys.Ids[1:] },
		"seats":  func(m *wire.Image) { m.SeatCount = nil },
		"floors": func(m *wire.Image) { m.Floors[0].Least = nil },
		"lot":    func(m *wire.Image) { m.Floors[0].Lane = "none" },
		"order":  func(m *wire.Image) { m.Floors[0].Least[0] = 9 },
	} {
		m := &wire.Image{}
		require.NoError(t, proto.Unmarshal(h.Image(), m))
		spoil(m)
		image, err := proto.Marshal(m)
		require.NoError(t, err)
		_, err = ReadBook(image)
		require.ErrorIs(t, err, ErrImage, name)
	}
}

func TestAGapInAnOlderImagesDocumentsLendsNothing(t *testing.T) {
	h := &hand{Book: NewBook()}
	old := &wire.Image{Generation: 5, InForce: 2, Grown: 2}
	for g := uint64(1); g <= 5; g++ {
		h.set(3, int(g), 60)
		if g > 3 {
			old.History = append(old.History, proto.Clone(h.Line(ident.Generation(g))).(*wire.DesiredLine))
		}
	}
	image, err := proto.Marshal(old)
	require.NoError(t, err)
	b, err := ReadBook(image)
	require.NoError(t, err)
	require.Zero(t, b.SeatCount())
	require.Empty(t, b.Floors())
	b.Apply(&wire.Entry{Index: 9, Change: &wire.Change{Body: &wire.Change_Mark{Mark: &wire.Mark{Grown: 4}}}})
	require.Equal(t, 3, b.SeatCount())
	require.Equal(t, 4, b.Floors()[Lot{"l", "s"}])
}
