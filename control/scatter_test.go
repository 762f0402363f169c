package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/cell"
	"sloeturn/wire"
)

// twoCells is a process that holds cell a; cell b is held elsewhere and nothing is known of it here.
func twoCells(t *testing.T) (h *hall, toOther func() []*wire.Announce) {
	h = newHall(t)
	h.core.Holds = append(h.core.Holds, &wire.Hold{Cell: "b", Holder: "v4", Incarnation: 7, Epoch: 3})
	for i := 1; i <= 3; i++ {
		h.says[door(i)] = knows(fmt.Sprintf("v%d/disk", i))
	}
	h.run(2 * time.Second)
	require.True(t, h.speaks())
	return h, func() []*wire.Announce {
		list := h.announces[door(4)]
		h.announces = map[string][]*wire.Announce{}
		return list
	}
}

// named is what a process makes of a sign-off that names an incarnation alone.
func (h *hall) named(life string) *wire.Announce {
	a := &wire.Announce{State: cell.Gone, Incarnation: life}
	h.Relay.Address(a, h.Cell, h.now)
	return a
}

func (h *hall) witnessed() {
	for i := 1; i <= 2; i++ {
		h.step(Got{&wire.Frame{From: fmt.Sprint("v", i), Addr: door(i), Body: &wire.Frame_Ask{Ask: &wire.Ask{Token: 1, Voter: fmt.Sprintf("v%d/disk", i), Cells: []*wire.CellHave{{Cell: "a", Epoch: 9, Upto: h.holds["a"].sound.Upto(), Promised: 9}}}}}})
	}
}

func TestASignOffOfAnUnknownBackendIsTakenByTheHoldersOfAllCells(t *testing.T) {
	h, toOther := twoCells(t)
	for i, code := range []uint32{200, 503} {
		token := uint64(10 + i)
		h.step(Announce{token, h.named(fmt.Sprint("i-unknown-", i))})
		h.witnessed()
		require.Zero(t, h.said[token], "the other cell's holder hasn't answered")
		list := toOther()
		require.Len(t, list, 1)
		require.Equal(t, "b", list[0].Cell)
		h.step(Got{&wire.Frame{Addr: door(4), Body: &wire.Frame_AnnounceReply{AnnounceReply: &wire.AnnounceReply{Token: list[0].Token, Code: code}}}})
		require.Equal(t, code, h.said[token])
	}
}

func TestASignOffOfAKnownBackendGoesToItsCellAlone(t *testing.T) {
	h, toOther := twoCells(t)
	h.step(Announce{1, &wire.Announce{Cell: "a", Addr: "b1", Service: "s", Slots: 2, Incarnation: "i-1", Stands: true}})
	require.EqualValues(t, 200, h.said[1])
	h.step(Announce{2, h.named("i-1")})
	h.witnessed()
	require.EqualValues(t, 200, h.said[2])
	require.Empty(t, toOther())
	require.Equal(t, cell.Leaving, h.holds["a"].sound.Lines()[0].State)
}

func TestAProcessThatKnowsNoCellsTakesNoSignOff(t *testing.T) {
	h := newHall(t)
	h.step(Announce{1, h.named("i-1")})
	require.EqualValues(t, 503, h.said[1])
}
