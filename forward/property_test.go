package forward

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sloeturn/admission"
	"sloeturn/ident"
	"sloeturn/ledger"
)

// requestRecord is what happened to one request so far, its hedge included.
type requestRecord struct {
	repeatable, keyed bool
	singleUse         bool // its body can be sent once only
	mayHaveRun        int  // attempts that may have run
	writes            int
	answers           int
	statuses          map[ident.RequestID]map[int]int // status of each attempt's whole answer
	notRun            map[ident.RequestID]map[int]bool
	clientLeft        bool
}

// executors carry out the effects of a state as specified, but in any order.
type executors struct {
	*routeHarness
	rt        *rapid.T
	records   map[ident.RequestID]*requestRecord
	dials     []Dial
	connected map[ident.RequestID]Dial
	writes    []Dial
	finished  []Dial
	claims    []ident.RequestID
	outcomes  map[string]int
	// canceled holds the attempts whose cancellation was asked for.
	canceled map[ident.RequestID]bool
	// begun holds the attempts whose long answer has begun.
	begun map[string]bool
}

// leave has a client leave. Effects that were listed before still reach it.
func (p *executors) leave(id ident.RequestID) {
	t := p.recordOf(id)
	t.clientLeft = t.clientLeft || t.answers == 0
	p.ClientLeft(id, p.now)
}

// attemptName names one attempt of a request.
func attemptName(id ident.RequestID, attempt int) string { return fmt.Sprint(id, " ", attempt) }

// recordOf returns the record of a request or of its hedge.
func (p *executors) recordOf(v ident.RequestID) *requestRecord {
	return p.records[ident.RequestID(strings.TrimSuffix(string(v), "-beside"))]
}

func (p *executors) check(holds bool, f string, a ...any) {
	if !holds {
		p.rt.Fatalf(f, a...)
	}
}

// applyEffects carries out or queues all effects and checks that none breaks a guarantee.
func (p *executors) applyEffects() {
	for list := p.Flush(); len(list) > 0; list = p.Flush() {
		defer p.checkClientWaits(effectsOf[Cancel](list))
		var left []ident.RequestID
		for _, e := range list {
			switch e := e.(type) {
			case Dial:
				p.dials = append(p.dials, e)
			case Claim:
				p.claims = append(p.claims, e.Request.ID)
			case Write:
				t, d := p.recordOf(e.Request), p.connected[e.Request]
				p.check(d.Attempt == e.Attempt, "%s: attempt %d is written on the connection of attempt %d", e.Request, e.Attempt, d.Attempt)
				p.check(t.answers == 0, "%s is written after its answer", e.Request)
				p.check(!t.clientLeft, "%s is written after its client left", e.Request)
				p.check(t.repeatable || t.mayHaveRun == 0, "%s is written again though it may have run", e.Request)
				t.writes++
				t.mayHaveRun++
				maxWrites := 3
				if t.keyed {
					maxWrites = 4
				}
				if t.singleUse {
					maxWrites = 1
				}
				p.check(t.writes <= maxWrites, "%s is written %d times", e.Request, t.writes)
				delete(p.connected, e.Request)
				p.writes = append(p.writes, d)
			case Cancel:
				t := p.recordOf(e.Request)
				p.check(t.repeatable, "%s is canceled, which must not be repeated", e.Request)
				p.check(!p.canceled[e.Request], "%s is canceled twice", e.Request)
				p.canceled[e.Request] = true
				p.outcomes["canceled"]++
			case ReturnConnection:
				if d, ok := p.connected[e.Request]; ok {
					delete(p.connected, e.Request)
					p.ConnectionFreed(d.Key, true, false, p.now)
				}
			case Answer:
				t := p.recordOf(e.Request)
				t.answers++
				p.outcomes[string(e.Ran)]++
				p.check(t.answers == 1 && !t.clientLeft, "%s is answered %d times", e.Request, t.answers)
				p.check(e.Ran != RanNo || t.mayHaveRun == 0, "%s may have run and is answered as not run", e.Request)
				p.check(e.Ran != RanYes, "%s is answered as run without a claim", e.Request)
				p.check(e.Ran == RanNo || e.Status == 502 || e.Status == 504 || e.Status == 409 || e.Status == 413 && t.singleUse, "%s may have run and is answered with %d, which clients retry", e.Request, e.Status)
			case Revoke:
				p.outcomes["revoked"]++
				left = append(left, ident.RequestID(strings.TrimSuffix(string(e.Request), hedgeSuffix)))
			case Discard:
				p.check(p.begun[attemptName(e.Request, e.Attempt)], "%s is dropped, which has not begun", e.Request)
				p.outcomes["dropped"]++
			case Deliver:
				t := p.recordOf(e.Request)
				t.answers++
				p.outcomes["delivered"]++
				p.check(t.answers == 1 && !t.clientLeft, "%s is answered %d times", e.Request, t.answers)
				status, ok := t.statuses[e.Request][e.Attempt]
				p.check(ok, "%s is delivered the answer of attempt %d, which had none", e.Request, e.Attempt)
				statesNotRun := status == 408 || status == 421 || status == 429 || status == 503
				if t.keyed {
					statesNotRun = status >= 502 && status <= 504
				}
				p.check(!statesNotRun || t.notRun[e.Request][e.Attempt] && t.mayHaveRun == 0, "%s is delivered the backend's status %d, which wrongly states that it didn't run", e.Request, status)
			}
		}
		for _, id := range left {
			p.leave(id)
		}
	}
}

// checkClientWaits checks that a client that is neither answered nor gone waits for another attempt
// than those that are canceled.
func (p *executors) checkClientWaits(canceled []Cancel) {
	for _, e := range canceled {
		t := p.recordOf(e.Request)
		waiting := false
		first := ident.RequestID(strings.TrimSuffix(string(e.Request), hedgeSuffix))
		for _, v := range []ident.RequestID{first, first + hedgeSuffix} {
			waiting = waiting || !p.canceled[v] && p.Find(v) != nil
		}
		p.check(t.answers > 0 || t.clientLeft || waiting, "%s is canceled while its client waits for it", e.Request)
	}
}

// end ends an attempt and frees its connection.
func (p *executors) end(d Dial, e Ending, status int) {
	t := p.recordOf(d.Request)
	recordStatus := func() {
		if t.statuses[d.Request] == nil {
			t.statuses[d.Request], t.notRun[d.Request] = map[int]int{}, map[int]bool{}
		}
		t.statuses[d.Request][d.Attempt] = status
	}
	switch e {
	case Complete:
		recordStatus()
	case Rejected, Misdirected:
		t.mayHaveRun--
		if e == Rejected {
			recordStatus()
			t.notRun[d.Request][d.Attempt] = true
		}
	}
	p.Ended(d.Request, d.Attempt, e, status, p.now)
	p.ConnectionFreed(d.Key, e == Complete || e == Rejected, e == Broken, p.now)
}

// begin begins a long answer of an attempt.
func (p *executors) begin(d Dial, status int) {
	name := attemptName(d.Request, d.Attempt)
	if p.begun[name] {
		return
	}
	p.begun[name] = true
	t := p.recordOf(d.Request)
	if t.statuses[d.Request] == nil {
		t.statuses[d.Request], t.notRun[d.Request] = map[int]int{}, map[int]bool{}
	}
	t.statuses[d.Request][d.Attempt] = status
	p.AnswerBegun(d.Request, d.Attempt, status, p.now)
}

// step draws one event and has it happen.
func (p *executors) step() {
	take := func(list *[]Dial) (Dial, bool) {
		if len(*list) == 0 {
			return Dial{}, false
		}
		at := rapid.IntRange(0, len(*list)-1).Draw(p.rt, "which")
		d := (*list)[at]
		*list = append(append([]Dial(nil), (*list)[:at]...), (*list)[at+1:]...)
		return d, true
	}
	switch rapid.SampledFrom([]string{"come", "dial", "dial", "end", "end", "end", "begin", "slow", "tick", "tick", "stale", "gone", "gate", "claim", "bars"}).Draw(p.rt, "what") {
	case "come":
		route := rapid.SampledFrom([]string{"once", "once!", "aim", "again", "again", "again!", "key"}).Draw(p.rt, "route")
		p.singleUse = route != "key" && rapid.IntRange(0, 3).Draw(p.rt, "long body") == 0
		t := &requestRecord{singleUse: p.singleUse, repeatable: strings.HasPrefix(route, "again"), keyed: route == "key", statuses: map[ident.RequestID]map[int]int{}, notRun: map[ident.RequestID]map[int]bool{}}
		p.records[ident.RequestID("v"+strconv.Itoa(p.arrivals+1))] = t
		if t.keyed {
			p.arrive("o")
		} else {
			p.arriveOn(route)
		}
	case "dial":
		if d, ok := take(&p.dials); ok {
			p.finished = append(p.finished, d)
			if rapid.IntRange(0, 4).Draw(p.rt, "fails") == 0 {
				p.ConnectFailed(d.Request, d.Attempt, d.Key, rapid.Bool().Draw(p.rt, "bar"), p.now)
				break
			}
			p.connected[d.Request] = d
			if !p.Connected(d.Request, d.Attempt, p.now) {
				delete(p.connected, d.Request)
				p.ConnectionFreed(d.Key, true, false, p.now)
			}
		}
	case "claim":
		if len(p.claims) > 0 {
			v := p.claims[0]
			p.claims = p.claims[1:]
			code := rapid.SampledFrom([]ledger.Code{ledger.Done, ledger.Done, ledger.Done, ledger.Claimed, ledger.Invalid, ledger.TooManyClaims}).Draw(p.rt, "code")
			p.Claimed(v, code, 0, p.now)
		}
	case "end":
		if d, ok := take(&p.writes); ok {
			p.finished = append(p.finished, d)
			e := rapid.SampledFrom([]Ending{-1, Complete, Complete, Complete, Malformed, Broken, TimedOut, Rejected, Rejected, Misdirected}).Draw(p.rt, "ending")
			status := rapid.SampledFrom([]int{200, 200, 200, 404, 408, 421, 429, 500, 502, 503, 504}).Draw(p.rt, "status")
			if p.begun[attemptName(d.Request, d.Attempt)] {
				e, status = rapid.SampledFrom([]Ending{Complete, Broken, Malformed, TimedOut}).Draw(p.rt, "ending after it began"), 200
			}
			if p.canceled[d.Request] && rapid.Bool().Draw(p.rt, "lets go") {
				e = Canceled
			}
			if p.recordOf(d.Request).singleUse && !p.begun[attemptName(d.Request, d.Attempt)] && rapid.IntRange(0, 5).Draw(p.rt, "body breaks off") == 0 {
				e, status = Unfinished, 413
			}
			switch e {
			case -1:
				p.recordOf(d.Request).mayHaveRun--
				p.recordOf(d.Request).writes--
				p.NotWritten(d.Request, d.Attempt, "broke", p.now)
				p.ConnectionFreed(d.Key, false, true, p.now)
			case Rejected:
				p.end(d, e, rapid.SampledFrom([]int{503, 429, 400}).Draw(p.rt, "turned"))
			case Misdirected:
				p.end(d, e, 421)
			default:
				p.end(d, e, status)
			}
		}
	case "begin":
		if len(p.writes) > 0 {
			d := p.writes[rapid.IntRange(0, len(p.writes)-1).Draw(p.rt, "whose answer")]
			p.begin(d, rapid.SampledFrom([]int{200, 404}).Draw(p.rt, "first status"))
		}
	case "slow":
		if len(p.writes) > 0 {
			d := p.writes[rapid.IntRange(0, len(p.writes)-1).Draw(p.rt, "whose client")]
			p.TransferSlow(d.Request, rapid.Bool().Draw(p.rt, "is slow"), p.now)
		}
	case "stale":
		if len(p.finished) > 0 {
			d := p.finished[rapid.IntRange(0, len(p.finished)-1).Draw(p.rt, "past")]
			for _, w := range p.writes {
				if w.Request == d.Request && w.Attempt == d.Attempt {
					return
				}
			}
			for _, w := range p.dials {
				if w.Request == d.Request && w.Attempt == d.Attempt {
					return
				}
			}
			if p.connected[d.Request].Attempt == d.Attempt {
				return
			}
			switch rapid.IntRange(0, 2).Draw(p.rt, "how") {
			case 0:
				p.NotWritten(d.Request, d.Attempt, "broke", p.now)
			case 1:
				p.Ended(d.Request, d.Attempt, rapid.SampledFrom([]Ending{Complete, Rejected, Misdirected, Broken}).Draw(p.rt, "ending"), 503, p.now)
			case 2:
				p.check(!p.Connected(d.Request, d.Attempt, p.now), "%s accepted a connection of an attempt that is over", d.Request)
			}
		}
	case "gone":
		if rapid.IntRange(0, 3).Draw(p.rt, "goes") == 0 && p.arrivals > 0 {
			v := ident.RequestID("v" + strconv.Itoa(rapid.IntRange(1, p.arrivals).Draw(p.rt, "who")))
			p.records[v].clientLeft = p.records[v].answers == 0
			p.ClientLeft(v, p.now)
		}
	case "gate":
		p.refusal = rapid.SampledFrom([]string{"", "", "", "stale"}).Draw(p.rt, "gate")
	case "bars":
		var list []admission.Backend
		for i := range 6 {
			list = append(list, admission.Backend{Addr: ident.Addr("b" + strconv.Itoa(i)), Service: "s", Incarnation: "x", Share: 3})
		}
		p.SetBackends(list, p.now)
		p.CreditRetries("s", 5)
	default:
		p.now = p.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 60, 60, 60, 300, 1200}).Draw(p.rt, "ms")) * time.Millisecond)
		p.Tick(p.now)
	}
}

func TestInWhateverOrderThingsHappenAVisitIsSentAndAnsweredOnce(t *testing.T) {
	outcomes := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		r := newRouteHarness(t, 6, 3, 40, 500)
		learned := rapid.Bool().Draw(rt, "learned")
		if learned {
			r.learnLatency("again")
			r.arrivals = 0
		}
		r.Flush()
		p := &executors{routeHarness: r, rt: rt, records: map[ident.RequestID]*requestRecord{}, connected: map[ident.RequestID]Dial{}, outcomes: outcomes, canceled: map[ident.RequestID]bool{}, begun: map[string]bool{}}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			p.step()
			p.applyEffects()
		}
		for i := 0; (len(p.writes)+len(p.dials)+len(p.claims) > 0 || r.Open() > 0) && i < 200; i++ {
			for _, d := range p.dials {
				p.ConnectFailed(d.Request, d.Attempt, d.Key, false, p.now)
			}
			p.dials = nil
			for _, v := range p.claims {
				p.Claimed(v, ledger.TooManyClaims, 0, p.now)
			}
			p.claims = nil
			list := p.writes
			p.writes = nil
			for _, d := range list {
				p.end(d, TimedOut, 0)
			}
			p.now = p.now.Add(50 * time.Millisecond)
			p.Tick(p.now)
			p.applyEffects()
		}
		require.Zero(rt, r.Open())
		for v, t := range p.records {
			p.check(t.answers == 1 || t.clientLeft, "%s was answered %d times", v, t.answers)
		}
		for _, k := range r.State.State.PoolStatuses() {
			p.check(k.Busy == 0, "a connection to %s stays busy", k.Addr)
		}
	})
	t.Log(outcomes)
}
