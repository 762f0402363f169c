package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/wire"
)

// forwarder is one life of a control process that holds no cell: v1 holds cell b, v4 holds cell c.
func forwarder(t *testing.T, life ident.Incarnation) *hall {
	h := newHallOf(t, life)
	h.core.Holds = []*wire.Hold{
		{Cell: "b", Holder: "v1", Incarnation: 7, Epoch: 3},
		{Cell: "c", Holder: "v4", Incarnation: 7, Epoch: 3},
	}
	h.run(100 * time.Millisecond)
	return h
}

func (h *hall) saysGoodbye(token uint64, cellName string) {
	h.step(Announce{token, &wire.Announce{Cell: cellName, Addr: fmt.Sprint("backend-", token), Service: "s", State: cell.Gone, Incarnation: fmt.Sprint("life-", token)}})
}

func (h *hall) answerGoodbye(from string, token uint64) {
	h.step(Got{&wire.Frame{From: "v", Addr: from, Body: &wire.Frame_AnnounceReply{AnnounceReply: &wire.AnnounceReply{Token: token, Code: 200}}}})
}

// Guards against a goodbye that is acknowledged by an answer to an earlier life of this process, and
// that the holder of its cell has never heard of.
func TestAnAnswerToAnEarlierLifeAcknowledgesNoGoodbye(t *testing.T) {
	before, after := forwarder(t, 3), forwarder(t, 99)
	for i := uint64(1); i <= 4; i++ {
		before.saysGoodbye(i, "b")
		after.saysGoodbye(i, "c")
	}
	late := before.announces[door(1)]
	require.Len(t, late, 4)
	for _, a := range late {
		after.answerGoodbye(door(1), a.Token)
	}
	require.Empty(t, after.said, "v1 answered the earlier life")
	for _, a := range after.announces[door(4)] {
		after.answerGoodbye(door(4), a.Token)
	}
	require.Len(t, after.said, 4, "its own holder's answers count")
}

// Guards against a goodbye that is acknowledged by a process that was not asked to take it.
func TestAnAnswerFromAProcessThatWasNotAskedAcknowledgesNoGoodbye(t *testing.T) {
	h := forwarder(t, 3)
	h.saysGoodbye(1, "c")
	asked := h.announces[door(4)]
	require.Len(t, asked, 1)
	h.answerGoodbye(door(1), asked[0].Token)
	require.Empty(t, h.said)
	h.answerGoodbye(door(4), asked[0].Token)
	require.EqualValues(t, 200, h.said[1])
}

// A goodbye that went to two holders in turn is acknowledged by either: the first noted it as the holder.
func TestTheAnswerOfAnEarlierHolderStillCounts(t *testing.T) {
	h := forwarder(t, 3)
	h.saysGoodbye(1, "c")
	asked := h.announces[door(4)]
	h.core.Version++
	h.core.Holds[1] = &wire.Hold{Cell: "c", Holder: "v2", Incarnation: 7, Epoch: 4}
	h.run(2 * OnwardEvery)
	again := h.announces[door(2)]
	require.NotEmpty(t, again)
	require.Equal(t, asked[0].Token, again[0].Token)
	h.answerGoodbye(door(4), asked[0].Token)
	require.EqualValues(t, 200, h.said[1])
}
