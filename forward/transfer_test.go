package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
)

func TestALongAnswerIsDeliveredOnceItHasBegun(t *testing.T) {
	for _, ending := range []Ending{Complete, Broken, Malformed} {
		r := newRouteHarness(t, 3, 3, 10, 200)
		r.arriveOn("again")
		d := r.expectSent(1)
		r.AnswerBegun(d.Request, d.Attempt, 200, r.now)
		require.Equal(t, []Deliver{{d.Request, 1}}, effectsOf[Deliver](r.Flush()))
		require.Empty(t, r.advance(10*time.Second), "neither canceled nor reclaimed while its client reads")
		require.Equal(t, 1, r.State.State.Held(), "its slot is held until the answer has ended")
		r.endAttempt(d, ending, 200)
		require.Empty(t, r.clientEffects(), "its client has one answer")
		require.Zero(t, r.Open())
		require.Zero(t, effectsOf[Dial](r.Flush()))
	}
}

func TestALongAnswerWhoseClientHasGoneIsDropped(t *testing.T) {
	for _, route := range []string{"again", "once"} {
		r := newRouteHarness(t, 3, 3, 10, 200)
		id := r.arriveOn(route)
		d := r.expectSent(1)
		r.ClientLeft(id, r.now)
		r.Flush()
		r.AnswerBegun(d.Request, d.Attempt, 200, r.now)
		all := r.Flush()
		require.Equal(t, []Discard{{d.Request, 1}}, effectsOf[Discard](all))
		require.Empty(t, effectsOf[Deliver](all))
	}
}

func TestTheSlotOfALongAnswerIsReclaimedAfterItsClientHasGone(t *testing.T) {
	r := newRouteHarness(t, 3, 3, 10, 200)
	id := r.arriveOn("once")
	d := r.expectSent(1)
	r.AnswerBegun(d.Request, d.Attempt, 200, r.now)
	r.advance(time.Hour)
	r.ClientLeft(id, r.now)
	require.Empty(t, effectsOf[CloseConnection](r.advance(100*time.Millisecond)), "its work is waited for")
	require.Len(t, effectsOf[CloseConnection](r.advance(time.Minute)), 1)
	r.endAttempt(d, TimedOut, 0)
	require.Zero(t, r.Open())
}

func TestTheAttemptBesideALongAnswerIsCanceledAndDropped(t *testing.T) {
	r := newRouteHarness(t, 3, 3, 10, 200)
	first, second := r.hedgedPair()
	r.AnswerBegun(second.Request, second.Attempt, 200, r.now)
	all := r.Flush()
	require.Equal(t, []Deliver{{second.Request, second.Attempt}}, effectsOf[Deliver](all))
	require.Equal(t, []Cancel{{first.Request}}, effectsOf[Cancel](all))
	r.AnswerBegun(first.Request, first.Attempt, 200, r.now)
	require.Equal(t, []Discard{{first.Request, first.Attempt}}, effectsOf[Discard](r.Flush()))
	r.endCanceled(first)
	r.endAttempt(second, Complete, 200)
	require.Empty(t, r.clientEffects())
	require.Zero(t, r.Open())
}

func TestABodyThatCanBeSentOnceIsSentToOneBackend(t *testing.T) {
	for ending, status := range map[Ending]int{Broken: 502, Malformed: 502, Unfinished: 413} {
		r := newRouteHarness(t, 3, 3, 10, 200)
		r.singleUse = true
		r.learnLatency("again")
		r.arriveOn("again")
		d := r.expectSent(1)
		require.Empty(t, effectsOf[Hedge](r.advance(60*time.Millisecond)), "no second attempt beside it")
		r.endAttempt(d, ending, 413)
		require.Equal(t, status, r.expectAnswer().Status, ending)
	}
	r := newRouteHarness(t, 3, 3, 10, 200)
	r.singleUse = true
	r.arriveOn("once")
	d := r.expectSent(1)
	r.NotWritten(d.Request, d.Attempt, "broke", r.now)
	r.ConnectionFreed(d.Key, false, true, r.now)
	r.expectSent(2)
}

// Guards against the time that a client takes to send a body being taken from its backend's.
func TestTheTimeForAnAnswerBeginsWithTheEndOfTheBody(t *testing.T) {
	r := newRouteHarness(t, 3, 3, 10, 200)
	r.singleUse = true
	r.arriveOn("again")
	d := r.expectSent(1)
	route := r.config.FindRoute("h", "/again/x").PickLane(0).ResponseTimeout
	require.Less(t, route, 1500*time.Millisecond)
	require.Empty(t, r.advance(1500*time.Millisecond), "its client waits for 2 s")
	r.BodySent(d.Request, d.Attempt, r.now)
	require.Empty(t, effectsOf[Answer](r.advance(route/4)))
	require.Len(t, effectsOf[Answer](r.advance(route)), 1)
}

// fillSlots sends requests whose long answers have begun, at most so many, until one has to wait.
func (r *routeHarness) fillSlots(most int) (sent []Dial) {
	for len(sent) < most {
		r.arriveOn("again")
		dials := effectsOf[Dial](r.Flush())
		if len(dials) == 0 {
			return sent
		}
		require.True(r.t, r.Connected(dials[0].Request, 1, r.now))
		r.AnswerBegun(dials[0].Request, 1, 200, r.now)
		r.Flush()
		sent = append(sent, dials[0])
	}
	return sent
}

// Guards against clients that hold up transfers and keep others from the slots of a lane.
func TestSlowTransfersAreCutOffForThoseThatWait(t *testing.T) {
	slots := len(newRouteHarness(t, 3, 3, 10, 200).fillSlots(100))
	r := newRouteHarness(t, 3, 3, 10, 200)
	sent := r.fillSlots(slots)
	r.TransferSlow(sent[1].Request, true, r.now)
	r.now = r.now.Add(time.Millisecond)
	r.TransferSlow(sent[0].Request, true, r.now)
	require.Empty(t, r.Flush(), "nobody waits")
	r.arriveOn("again")
	require.Equal(t, []Revoke{{sent[1].Request}}, effectsOf[Revoke](r.Flush()), "the one that is slow for longest")
	r.ClientLeft(sent[1].Request, r.now)
	r.expectCanceled(sent[1])
	r.endCanceled(sent[1])
	require.Len(t, effectsOf[Dial](r.Flush()), 1, "the slot goes to the one that waits")
	r.arriveOn("again")
	require.Equal(t, []Revoke{{sent[0].Request}}, effectsOf[Revoke](r.Flush()))
	r.arriveOn("again")
	require.Empty(t, effectsOf[Revoke](r.Flush()), "the client that isn't slow stays")
	r.TransferSlow(sent[2].Request, true, r.now)
	require.Equal(t, []Revoke{{sent[2].Request}}, effectsOf[Revoke](r.Flush()))
	require.Equal(t, uint64(3), r.Counters["revoked slow"])
}

func TestATransferThatIsNoLongerSlowIsNotCutOff(t *testing.T) {
	r := newRouteHarness(t, 1, 1, 10, 200)
	r.arriveOn("again")
	d := r.expectSent(1)
	r.AnswerBegun(d.Request, d.Attempt, 200, r.now)
	r.TransferSlow(d.Request, true, r.now)
	r.TransferSlow(d.Request, false, r.now)
	r.Flush()
	r.arriveOn("again")
	require.Empty(t, effectsOf[Revoke](r.Flush()))
	r.TransferSlow("unknown", true, ident.Moment(0))
}
