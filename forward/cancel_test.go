package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// canceled takes the effects since the last call and requires exactly one cancellation, of d.
func (r *road) canceled(d Dial) {
	require.Equal(r.t, []Cancel{{d.Request}}, pick[Cancel](r.Flush()))
}

// cancelEnds plays a backend that closes its connection after a cancellation.
func (r *road) cancelEnds(d Dial) {
	r.Ended(d.Request, d.Attempt, Canceled, 0, r.now)
	r.Freed(d.Key, false, false, r.now)
}

func TestASentAttemptIsCanceledWhenItsClientLeaves(t *testing.T) {
	r := newRoad(t, 3, 3, 10, 200)
	v := r.come("again")
	d := r.sends(1)
	r.ClientLeft(v, r.now)
	r.canceled(d)
	r.ClientLeft(v, r.now)
	require.Empty(t, r.wait(100*time.Millisecond), "canceled once")
	require.Equal(t, 1, r.Open(), "the slot is held until the backend has let go")
	require.Equal(t, 1, r.State.State.Held())
	r.cancelEnds(d)
	all := r.Flush()
	require.Empty(t, pick[Answer](all))
	require.Empty(t, pick[Deliver](all))
	require.Empty(t, pick[Dial](all), "no further attempt for a client that left")
	require.Zero(t, r.Open())
	require.Zero(t, r.State.State.Held())
}

func TestWorkThatMustNotBeRepeatedRunsOnWhenItsClientLeaves(t *testing.T) {
	r := newRoad(t, 3, 3, 10, 200)
	v := r.come("once")
	d := r.sends(1)
	r.ClientLeft(v, r.now)
	require.Empty(t, pick[Cancel](r.Flush()))
	require.Empty(t, pick[Cancel](r.wait(1200*time.Millisecond)), "nor at its deadline")
	r.hears(d, Complete, 200)
	require.Empty(t, pick[Deliver](r.Flush()))
	require.Zero(t, r.Open())
}

func TestTheSlowerOfTwoParallelAttemptsIsCanceled(t *testing.T) {
	for _, late := range []bool{false, true} {
		r := newRoad(t, 3, 3, 10, 200)
		first, second := r.twin()
		if late {
			first, second = second, first
		}
		r.hears(second, Complete, 200)
		all := r.Flush()
		require.Equal(t, []Deliver{{second.Request, second.Attempt}}, pick[Deliver](all))
		require.Equal(t, []Cancel{{first.Request}}, pick[Cancel](all))
		r.cancelEnds(first)
		require.Empty(t, r.answers())
		require.Zero(t, r.Open())
	}
}

// answers takes the effects since the last call and tells those that reach the client.
func (r *road) answers() []any {
	var out []any
	for _, e := range r.Flush() {
		switch e.(type) {
		case Answer, Deliver:
			out = append(out, e)
		}
	}
	return out
}

func TestBothParallelAttemptsAreCanceledWhenTheClientLeaves(t *testing.T) {
	r := newRoad(t, 3, 3, 10, 200)
	first, second := r.twin()
	r.ClientLeft(first.Request, r.now)
	require.ElementsMatch(t, []Cancel{{first.Request}, {second.Request}}, pick[Cancel](r.Flush()))
	r.cancelEnds(first)
	r.cancelEnds(second)
	require.Empty(t, r.answers())
	require.Zero(t, r.Open())
}

func TestTheAttemptThatIsLeftIsCanceledWhenTheClientLeaves(t *testing.T) {
	r := newRoad(t, 3, 3, 10, 200)
	first, second := r.twin()
	r.hears(first, Broken, 0)
	r.Flush()
	r.ClientLeft(first.Request, r.now)
	r.canceled(second)
	r.cancelEnds(second)
	require.Empty(t, r.answers())
	require.Zero(t, r.Open())
}

func TestARepeatableAttemptIsCanceledWhenItsTimeIsUp(t *testing.T) {
	r := newRoad(t, 3, 3, 0, 0)
	r.come("again!")
	d := r.sends(1)
	all := r.wait(500 * time.Millisecond)
	require.Len(t, pick[Answer](all), 1)
	require.Equal(t, 504, pick[Answer](all)[0].Status)
	require.Equal(t, []Cancel{{d.Request}}, pick[Cancel](all))
	r.cancelEnds(d)
	require.Empty(t, r.answers())
	require.Zero(t, r.Open())
}

func TestNothingIsSentOnceItsRoutesTimeIsUp(t *testing.T) {
	for _, route := range []string{"once", "again"} {
		r := newRoad(t, 3, 3, 10, 200)
		r.come(route)
		first := r.sends(1)
		r.now = r.now.Add(950 * time.Millisecond)
		r.hears(first, TurnedAway, 503)
		second := pick[Dial](r.Flush())
		require.Len(t, second, 1)
		r.now = r.now.Add(60 * time.Millisecond)
		r.Connected(second[0].Request, second[0].Attempt, r.now)
		all := r.Flush()
		require.Empty(t, pick[Write](all), route)
		require.Len(t, pick[Answer](all), 1, route)
		require.Equal(t, 503, pick[Answer](all)[0].Status)
		require.Zero(t, r.Open())
	}
}

func TestACanceledAttemptThatNeverEndsIsReclaimed(t *testing.T) {
	r := newRoad(t, 3, 3, 10, 200)
	v := r.come("again")
	d := r.sends(1)
	r.ClientLeft(v, r.now)
	r.canceled(d)
	require.Empty(t, pick[Cut](r.wait(1900*time.Millisecond)))
	require.Equal(t, []Cut{{v}}, pick[Cut](r.wait(200*time.Millisecond)))
}

func TestAnAttemptWhoseClientLeftBeforeTheFirstByteIsNotRepeated(t *testing.T) {
	r := newRoad(t, 3, 3, 10, 200)
	v := r.come("again")
	d := r.sends(1)
	r.ClientLeft(v, r.now)
	r.canceled(d)
	r.NotWritten(d.Request, d.Attempt, "client left", r.now)
	r.Freed(d.Key, true, false, r.now)
	all := r.Flush()
	require.Empty(t, pick[Dial](all))
	require.Empty(t, pick[Answer](all))
	require.Zero(t, r.Open())
}

func TestACanceledAttemptTellsThePaceOnlyThatItWasSlow(t *testing.T) {
	play := func(wait time.Duration) (before, after float64) {
		r := newRoad(t, 1, 3, 10, 200)
		r.learn("again")
		before = r.State.State.Pace("b0")
		v := r.come("again")
		d := r.sends(1)
		r.now = r.now.Add(wait)
		r.ClientLeft(v, r.now)
		r.canceled(d)
		r.cancelEnds(d)
		return before, r.State.State.Pace("b0")
	}
	before, after := play(5 * time.Millisecond)
	require.Equal(t, before, after, "a client that left early says nothing of the backend")
	before, after = play(400 * time.Millisecond)
	require.Greater(t, after, before)
}
