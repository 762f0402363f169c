package forward

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/admission"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/ledger"
)

const routeConfig = `{"fleet":{"nodes":1},"services":{"s":{"maxConnections":80,"reserve":0,"named":true,"furtherShots":%d,"furtherShare":%d}},"tenants":{"t":{}},
"lanes":{"r":{"tenant":"t","service":"s","slots":4,"waiters":8},"o":{"tenant":"t","service":"s","slots":1,"once":true,"shots":4}},
"routes":{"once":{"host":"h","prefix":"/once/","wholeMs":1000,"shots":3,"lanes":{"r":1}},
"aim":{"host":"h","prefix":"/aim/","wholeMs":1000,"aimMs":400,"shots":3,"lanes":{"r":1}},
"again":{"host":"h","prefix":"/again/","repeatable":true,"wholeMs":1000,"shots":3,"lanes":{"r":1}}}}`

// routeHarness is a harness with routes, that fails its test where a step has another effect than expected.
type routeHarness struct {
	*harness
	t *testing.T
	// singleUse: the bodies of requests that arrive can be sent once only.
	singleUse bool
}

func newRouteHarness(t *testing.T, backends, share, maxRetries, retryShare int) *routeHarness {
	config, faults := desired.Read([]byte(fmt.Sprintf(routeConfig, maxRetries, retryShare)))
	require.Empty(t, faults)
	base := &harness{now: 1e9, config: config}
	base.State = New(admission.New(), func(v *Request, now ident.Moment) (ident.Moment, string) { return now.Add(time.Second), base.refusal })
	base.SetConfig(config, ledger.LaneSlots(config), 0, 1, base.now)
	base.setBackends(backends, share)
	base.CreditRetries("s", float64(maxRetries))
	return &routeHarness{harness: base, t: t}
}

// arriveOn has a request arrive on a route; with "!" its client waits 500 ms instead of 2 s.
func (r *routeHarness) arriveOn(route string) ident.RequestID {
	r.arrivals++
	id := ident.RequestID(fmt.Sprint("v", r.arrivals))
	route, impatient := strings.CutSuffix(route, "!")
	patience := 2 * time.Second
	if impatient {
		patience = 500 * time.Millisecond
	}
	rule := r.config.FindRoute("h", "/"+route+"/x").PickLane(0)
	r.Arrive(Arrival{ID: id, Lane: rule.Name, Rule: rule, Arrived: r.now, Deadline: r.now.Add(patience), SingleUse: r.singleUse}, r.now)
	return id
}

// expectSent expects the given attempt to be dialed, connects it and expects it to be written.
func (r *routeHarness) expectSent(attempt int) Dial {
	all := r.Flush()
	list := effectsOf[Dial](all)
	require.Len(r.t, list, 1)
	require.Equal(r.t, attempt, list[0].Attempt)
	require.Empty(r.t, effectsOf[Answer](all))
	require.Empty(r.t, effectsOf[Deliver](all))
	require.True(r.t, r.Connected(list[0].Request, attempt, r.now))
	require.Len(r.t, effectsOf[Write](r.Flush()), 1)
	return list[0]
}

// endAttempt ends an attempt and frees its connection.
func (r *routeHarness) endAttempt(d Dial, e Ending, status int) {
	r.Ended(d.Request, d.Attempt, e, status, r.now)
	r.ConnectionFreed(d.Key, e == Complete || e == Rejected, false, r.now)
}

// expectAnswer expects that the gateway itself answers the last open request.
func (r *routeHarness) expectAnswer() Answer {
	all := r.Flush()
	require.Empty(r.t, effectsOf[Dial](all))
	require.Empty(r.t, effectsOf[Deliver](all))
	a := effectsOf[Answer](all)
	require.Len(r.t, a, 1)
	require.Zero(r.t, r.Open())
	return a[0]
}

// expectDelivered expects that the answer of an attempt is delivered to the last open request.
func (r *routeHarness) expectDelivered(attempt int) {
	all := r.Flush()
	require.Empty(r.t, effectsOf[Dial](all))
	require.Empty(r.t, effectsOf[Answer](all))
	d := effectsOf[Deliver](all)
	require.Len(r.t, d, 1)
	require.Equal(r.t, attempt, d[0].Attempt)
	require.Zero(r.t, r.Open())
}

func TestWhatMayHaveRunIsNeverShotAgainUnlessRepeatable(t *testing.T) {
	for _, c := range []struct {
		ending Ending
		status int
	}{{Complete, 500}, {Complete, 503}, {Complete, 502}, {Complete, 408}, {Complete, 429}, {Malformed, 0}, {Broken, 0}, {TimedOut, 0}} {
		r := newRouteHarness(t, 6, 4, 10, 200)
		r.arriveOn("once")
		r.endAttempt(r.expectSent(1), c.ending, c.status)
		all := r.Flush()
		require.Empty(t, effectsOf[Dial](all), c)
		for _, a := range effectsOf[Answer](all) {
			require.Equal(t, RanUnknown, a.Ran, c)
			require.Contains(t, []int{502, 504}, a.Status, c)
		}
		if c.status != 500 && c.status != 502 {
			require.Empty(t, effectsOf[Deliver](all), c)
		}
		require.Len(t, append(effectsOf[Deliver](all), make([]Deliver, len(effectsOf[Answer](all)))...), 1, c)
		require.Zero(t, r.Open())
	}
}

func TestWhatTheBackendDidNotRunIsShotAgainElsewhere(t *testing.T) {
	for _, ending := range []Ending{Rejected, Misdirected} {
		for _, route := range []string{"once", "again"} {
			r := newRouteHarness(t, 6, 4, 10, 200)
			r.arriveOn(route)
			first := r.expectSent(1)
			r.endAttempt(first, ending, 503)
			second := r.expectSent(2)
			require.NotEqual(t, first.Key.Addr, second.Key.Addr)
			r.endAttempt(second, Complete, 200)
			r.expectDelivered(2)
		}
	}
}

func TestShotsEndAtTheRoutesNumberTheBudgetAndTheExpiry(t *testing.T) {
	for _, route := range []string{"once", "again"} {
		r := newRouteHarness(t, 9, 4, 10, 0)
		r.arriveOn(route)
		for attempt := 1; attempt <= 3; attempt++ {
			r.endAttempt(r.expectSent(attempt), Rejected, 503)
		}
		r.expectDelivered(3)

		r = newRouteHarness(t, 9, 4, 1, 0)
		r.arriveOn(route)
		r.endAttempt(r.expectSent(1), Rejected, 503)
		r.endAttempt(r.expectSent(2), Rejected, 503)
		r.expectDelivered(2)

		for elapsed, route := range map[time.Duration]string{time.Second: route, 500 * time.Millisecond: route + "!"} {
			r = newRouteHarness(t, 9, 4, 10, 0)
			r.arriveOn(route)
			config := r.expectSent(1)
			r.now = r.now.Add(elapsed)
			r.endAttempt(config, Rejected, 503)
			r.expectDelivered(1)
			require.Zero(t, r.Counters["further"])
		}
	}
}

func TestTheShareOfFurtherShotsIsTheServices(t *testing.T) {
	for _, retryShare := range []int{0, 100, 500, 1000} {
		r := newRouteHarness(t, 9, 4, 3, retryShare)
		retries := 0
		for i := 0; i < 100; i++ {
			r.arriveOn("once")
			for {
				config := effectsOf[Dial](r.Flush())
				if len(config) == 0 {
					break
				}
				if config[0].Attempt > 1 {
					retries++
				}
				r.Connected(config[0].Request, config[0].Attempt, r.now)
				r.Flush()
				r.endAttempt(config[0], Rejected, 503)
			}
		}
		require.LessOrEqual(t, retries, 3+retryShare/10)
		require.GreaterOrEqual(t, retries, 3+retryShare/10-1)
	}
}

func TestAKeptAnswerIsDeliveredAndNoOtherShotsInItsPlace(t *testing.T) {
	for name, c := range map[string]struct {
		rest func(r *routeHarness)
	}{
		"garbled": {func(r *routeHarness) {
			r.endAttempt(r.expectSent(2), Malformed, 0)
			r.endAttempt(r.expectSent(3), Malformed, 0)
		}},
		"broken": {func(r *routeHarness) {
			r.endAttempt(r.expectSent(2), Broken, 0)
			r.endAttempt(r.expectSent(3), Broken, 0)
		}},
		"turned": {func(r *routeHarness) {
			r.endAttempt(r.expectSent(2), Rejected, 503)
			r.endAttempt(r.expectSent(3), Rejected, 503)
		}},
		"moved": {func(r *routeHarness) {
			r.endAttempt(r.expectSent(2), Misdirected, 421)
			r.endAttempt(r.expectSent(3), Misdirected, 421)
		}},
		"gateway": {func(r *routeHarness) {
			r.endAttempt(r.expectSent(2), Complete, 503)
			r.endAttempt(r.expectSent(3), Complete, 503)
		}},
		"gate": {func(r *routeHarness) {
			r.refusal = "stale"
			r.Connected(effectsOf[Dial](r.Flush())[0].Request, 2, r.now)
		}},
		"refused": {func(r *routeHarness) {
			for attempt := 2; attempt <= 3; attempt++ {
				config := effectsOf[Dial](r.Flush())[0]
				r.ConnectFailed(config.Request, attempt, config.Key, true, r.now)
			}
		}},
		"waited": {func(r *routeHarness) {
			r.Flush()
			r.now = r.now.Add(MaxAdmissionWait)
			r.Tick(r.now)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouteHarness(t, 9, 4, 10, 0)
			r.arriveOn("again")
			r.endAttempt(r.expectSent(1), Complete, 500)
			c.rest(r)
			r.expectDelivered(1)
		})
	}
}

func TestAVisitThatMayHaveRunNeverEndsAsNotRun(t *testing.T) {
	for _, first := range []struct {
		ending Ending
		status int
	}{{Malformed, 0}, {Broken, 0}, {Complete, 503}} {
		for name, rest := range map[string]func(r *routeHarness){
			"turned": func(r *routeHarness) {
				r.endAttempt(r.expectSent(2), Rejected, 503)
				r.endAttempt(r.expectSent(3), Rejected, 503)
			},
			"moved": func(r *routeHarness) {
				r.endAttempt(r.expectSent(2), Misdirected, 421)
				r.endAttempt(r.expectSent(3), Misdirected, 421)
			},
			"gate": func(r *routeHarness) {
				r.refusal = "stale"
				r.Connected(effectsOf[Dial](r.Flush())[0].Request, 2, r.now)
			},
			"unwritten": func(r *routeHarness) {
				for attempt := 2; attempt <= 3; attempt++ {
					config := r.expectSent(attempt)
					r.NotWritten(config.Request, config.Attempt, "broke", r.now)
					r.ConnectionFreed(config.Key, false, true, r.now)
				}
			},
			"refused": func(r *routeHarness) {
				for attempt := 2; attempt <= 3; attempt++ {
					config := effectsOf[Dial](r.Flush())[0]
					r.ConnectFailed(config.Request, attempt, config.Key, true, r.now)
				}
			},
			"none left": func(r *routeHarness) {
				config := r.expectSent(2)
				r.setBackends(0, 0)
				r.endAttempt(config, Rejected, 503)
			},
			"waited": func(r *routeHarness) { r.Flush(); r.now = r.now.Add(MaxAdmissionWait); r.Tick(r.now) },
		} {
			r := newRouteHarness(t, 9, 4, 10, 0)
			r.arriveOn("again")
			r.endAttempt(r.expectSent(1), first.ending, first.status)
			rest(r)
			a := r.expectAnswer()
			require.Equal(t, 502, a.Status, name)
			require.Equal(t, RanUnknown, a.Ran, name)
			require.Zero(t, a.RetryAfter)
		}
	}
}

func TestAMovedBackendsAnswerIsNoAnswer(t *testing.T) {
	r := newRouteHarness(t, 1, 4, 10, 0)
	r.arriveOn("once")
	r.endAttempt(r.expectSent(1), Misdirected, 421)
	a := r.expectAnswer()
	require.Equal(t, 503, a.Status)
	require.Equal(t, RanNo, a.Ran)
	require.NotZero(t, a.RetryAfter)
	r.arriveOn("once")
	require.Equal(t, "no backend ready", r.expectAnswer().Reason)
}

func TestAllWaitingOfAVisitIsBoundedByItsAim(t *testing.T) {
	for route, maxWait := range map[string]time.Duration{"once": MaxAdmissionWait, "aim": 90 * time.Millisecond} {
		r := newRouteHarness(t, 1, 1, 10, 0)
		r.arriveOn("once")
		r.expectSent(1)
		at := r.now
		id := r.arriveOn(route)
		require.Empty(t, effectsOf[Answer](r.Flush()))
		for r.Find(id) != nil {
			r.now = r.now.Add(time.Millisecond)
			r.Tick(r.now)
		}
		require.Equal(t, maxWait, r.now.Sub(at), route)

		r = newRouteHarness(t, 1, 1, 10, 0)
		occupant := r.arriveOn("once")
		r.expectSent(1)
		at = r.now
		id = r.arriveOn(route)
		r.now = r.now.Add(maxWait / 2)
		r.Ended(occupant, 1, Complete, 200, r.now)
		r.ConnectionFreed(admission.Key{Lane: "r", Addr: "b0"}, false, false, r.now)
		config := effectsOf[Dial](r.Flush())[0]
		require.Equal(t, id, config.Request)
		require.LessOrEqual(t, config.Until, at.Add(maxWait), route)

		r = newRouteHarness(t, 2, 1, 10, 0)
		r.arriveOn("once")
		r.expectSent(1)
		id = r.arriveOn(route)
		config = r.expectSent(1)
		r.now = r.now.Add(300 * time.Millisecond)
		r.endAttempt(config, Rejected, 503)
		at = r.now
		require.NotNil(t, r.Find(id))
		for r.Find(id) != nil {
			r.now = r.now.Add(time.Millisecond)
			r.Tick(r.now)
		}
		require.Equal(t, maxWait, r.now.Sub(at), route)
		require.Empty(t, effectsOf[Dial](r.Flush()))

		r = newRouteHarness(t, 2, 1, 10, 0)
		occupant = r.arriveOn("once")
		other := r.expectSent(1)
		r.arriveOn(route)
		config = r.expectSent(1)
		r.now = r.now.Add(300 * time.Millisecond)
		r.endAttempt(config, Rejected, 503)
		at = r.now
		r.now = r.now.Add(maxWait / 2)
		r.Ended(occupant, 1, Complete, 200, r.now)
		r.ConnectionFreed(other.Key, false, false, r.now)
		config = effectsOf[Dial](r.Flush())[0]
		require.Equal(t, 2, config.Attempt)
		require.LessOrEqual(t, config.Until, at.Add(maxWait), route)
	}
}

func TestAFurtherShotThatWaitedInVainIsRefusedAsNotRun(t *testing.T) {
	r := newRouteHarness(t, 2, 1, 10, 0)
	r.arriveOn("once")
	r.expectSent(1)
	r.arriveOn("once")
	r.endAttempt(r.expectSent(1), Rejected, 503)
	r.now = r.now.Add(MaxAdmissionWait)
	r.Tick(r.now)
	a := effectsOf[Answer](r.Flush())[0]
	require.Equal(t, 503, a.Status)
	require.Equal(t, RanNo, a.Ran)
	require.NotZero(t, a.RetryAfter)
}

func TestAFurtherShotThatNeverLeftIsNotSpent(t *testing.T) {
	r := newRouteHarness(t, 1, 4, 1, 0)
	r.arriveOn("once")
	r.endAttempt(r.expectSent(1), Rejected, 503)
	r.expectDelivered(1)
	require.Zero(t, r.Counters["further"])
	r.setBackends(2, 4)
	r.arriveOn("once")
	r.endAttempt(r.expectSent(1), Rejected, 503)
	r.endAttempt(r.expectSent(2), Complete, 200)
	r.expectDelivered(2)
	require.Equal(t, uint64(1), r.Counters["further"])
}

func TestALeftOrToldVisitIsNotShotAgain(t *testing.T) {
	for _, ending := range []Ending{Rejected, Misdirected, Malformed, Broken, Complete} {
		r := newRouteHarness(t, 9, 4, 10, 0)
		id := r.arriveOn("again")
		config := r.expectSent(1)
		r.ClientLeft(id, r.now)
		r.endAttempt(config, ending, 500)
		all := r.Flush()
		require.Empty(t, effectsOf[Dial](all))
		require.Empty(t, effectsOf[Answer](all))
		require.Empty(t, effectsOf[Deliver](all))
		require.Zero(t, r.Open())

		r.arriveOn("again")
		config = r.expectSent(1)
		r.now = r.now.Add(time.Second)
		r.Tick(r.now)
		require.Len(t, effectsOf[Answer](r.Flush()), 1)
		r.endAttempt(config, ending, 500)
		all = r.Flush()
		require.Empty(t, effectsOf[Dial](all))
		require.Empty(t, effectsOf[Answer](all))
		require.Empty(t, effectsOf[Deliver](all))
		require.Zero(t, r.Open())
	}
}

func TestAVisitThatLeavesBetweenShotsFreesWhatItHeld(t *testing.T) {
	r := newRouteHarness(t, 9, 4, 10, 0)
	id := r.arriveOn("once")
	r.endAttempt(r.expectSent(1), Rejected, 503)
	config := effectsOf[Dial](r.Flush())[0]
	r.ClientLeft(id, r.now)
	require.Zero(t, r.Open())
	require.False(t, r.Connected(id, 2, r.now))
	r.ConnectionFreed(config.Key, false, false, r.now)
	require.Zero(t, r.Held()-1)
}

func TestAClaimIsHeldFromShotToShotAndReleasedOnce(t *testing.T) {
	for name, last := range map[string]func(r *routeHarness, config Dial){
		"sent":    nil,
		"refused": func(r *routeHarness, config Dial) { r.ConnectFailed(config.Request, 2, config.Key, true, r.now) },
		"gate":    func(r *routeHarness, config Dial) { r.refusal = "stale"; r.Connected(config.Request, 2, r.now) },
		"left":    func(r *routeHarness, config Dial) { r.ClientLeft(config.Request, r.now) },
		"late":    func(r *routeHarness, config Dial) { r.now = r.now.Add(MaxAdmissionWait); r.Tick(r.now) },
	} {
		r := newRouteHarness(t, 3, 4, 1, 0)
		v := r.arrive("o")
		config := effectsOf[Dial](r.Flush())[0]
		r.Connected(v, 1, r.now)
		require.Len(t, effectsOf[Claim](r.Flush()), 1)
		r.Claimed(v, ledger.Done, 0, r.now)
		r.Flush()
		r.NotWritten(v, 1, "broke", r.now)
		r.ConnectionFreed(config.Key, false, true, r.now)
		all := r.Flush()
		require.Empty(t, effectsOf[Release](all), name)
		config = effectsOf[Dial](all)[0]
		if last != nil {
			last(r, config)
			require.Len(t, effectsOf[Release](r.Flush()), 1, name)
			require.Zero(t, r.Open())
			continue
		}
		r.Connected(v, 2, r.now)
		all = r.Flush()
		require.Empty(t, effectsOf[Claim](all))
		require.Len(t, effectsOf[Write](all), 1)
		r.endAttempt(config, Broken, 0)
		require.Empty(t, effectsOf[Release](r.Flush()))
	}
}

func TestAVisitThatWasNeverWrittenIsRefusedWithinItsFirstPatience(t *testing.T) {
	r := newRouteHarness(t, 2, 1, 10, 200)
	r.arriveOn("again")
	held := r.expectSent(1)
	start := r.now
	r.arriveOn("once")
	config := r.expectSent(1)
	r.now = r.now.Add(100 * time.Millisecond)
	r.NotWritten(config.Request, config.Attempt, "connection broke before the first byte", r.now)
	require.Empty(t, effectsOf[Answer](r.Flush()))
	r.now = start.Add(MaxAdmissionWait)
	r.Tick(r.now)
	a := effectsOf[Answer](r.Flush())
	require.Len(t, a, 1)
	require.Equal(t, RanNo, a[0].Ran)
	require.Equal(t, config.Request, a[0].Request)
	require.NotEmpty(t, held.Request)
}

func TestAVisitThatWasNeverWrittenIsRefusedInItsFirstTime(t *testing.T) {
	r := newRouteHarness(t, 2, 1, 10, 0)
	r.arriveOn("once")
	r.expectSent(1)
	at := r.now
	id := r.arriveOn("aim")
	config := r.expectSent(1)
	r.now = r.now.Add(80 * time.Millisecond)
	r.NotWritten(id, 1, "broke", r.now)
	r.ConnectionFreed(config.Key, false, false, r.now)
	for r.Find(id) != nil {
		r.now = r.now.Add(time.Millisecond)
		r.Tick(r.now)
	}
	require.Equal(t, 90*time.Millisecond, r.now.Sub(at))
	require.Equal(t, RanNo, effectsOf[Answer](r.Flush())[0].Ran)

	id = r.arriveOn("aim")
	r.expectSent(1)
	r.now = r.now.Add(100 * time.Millisecond)
	r.NotWritten(id, 1, "broke", r.now)
	require.Nil(t, r.Find(id))
}

func TestWordOfAnEarlierShotChangesNothing(t *testing.T) {
	r := newRouteHarness(t, 6, 4, 10, 200)
	id := r.arriveOn("once")
	r.endAttempt(r.expectSent(1), Rejected, 503)
	second := r.expectSent(2)
	r.NotWritten(id, 1, "broke", r.now)
	r.Ended(id, 1, Rejected, 503, r.now)
	r.Ended(id, 1, Complete, 200, r.now)
	require.Empty(t, r.Flush())
	r.endAttempt(second, Complete, 200)
	r.expectDelivered(2)
}
