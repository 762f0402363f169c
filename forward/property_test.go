package forward

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/pass"
)

// tale is what one visit did so far, its shot beside it included.
type tale struct {
	again, keyed bool
	may          int // shots that may have run
	writes       int
	told         int
	heard        map[ident.RequestID]map[int]int // status of each shot's whole answer
	not          map[ident.RequestID]map[int]bool
	left         bool
}

// troupe plays the executors of a reducer, faithfully but in any order.
type troupe struct {
	*road
	rt     *rapid.T
	tales  map[ident.RequestID]*tale
	dials  []Dial
	held   map[ident.RequestID]Dial
	writes []Dial
	past   []Dial
	claims []ident.RequestID
	told   map[string]int
	// canceled holds the attempts whose cancellation was asked for.
	canceled map[ident.RequestID]bool
}

func (p *troupe) of(v ident.RequestID) *tale {
	return p.tales[ident.RequestID(strings.TrimSuffix(string(v), "-beside"))]
}

func (p *troupe) ok(good bool, f string, a ...any) {
	if !good {
		p.rt.Fatalf(f, a...)
	}
}

func (p *troupe) obey() {
	for list := p.Flush(); len(list) > 0; list = p.Flush() {
		defer p.waitsFor(pick[Cancel](list))
		for _, e := range list {
			switch e := e.(type) {
			case Dial:
				p.dials = append(p.dials, e)
			case Claim:
				p.claims = append(p.claims, e.Request.ID)
			case Write:
				t, d := p.of(e.Request), p.held[e.Request]
				p.ok(d.Attempt == e.Attempt, "%s: shot %d is written on the connection of shot %d", e.Request, e.Attempt, d.Attempt)
				p.ok(t.told == 0, "%s is written after its answer", e.Request)
				p.ok(!t.left, "%s is written after its client left", e.Request)
				p.ok(t.again || t.may == 0, "%s is written again though it may have run", e.Request)
				t.writes++
				t.may++
				most := 3
				if t.keyed {
					most = 4
				}
				p.ok(t.writes <= most, "%s is written %d times", e.Request, t.writes)
				delete(p.held, e.Request)
				p.writes = append(p.writes, d)
			case Cancel:
				t := p.of(e.Request)
				p.ok(t.again, "%s is canceled, which must not be repeated", e.Request)
				p.ok(!p.canceled[e.Request], "%s is canceled twice", e.Request)
				p.canceled[e.Request] = true
				p.told["canceled"]++
			case Drop:
				if d, ok := p.held[e.Request]; ok {
					delete(p.held, e.Request)
					p.Freed(d.Key, true, false, p.now)
				}
			case Answer:
				t := p.of(e.Request)
				t.told++
				p.told[string(e.Ran)]++
				p.ok(t.told == 1 && !t.left, "%s is answered %d times", e.Request, t.told)
				p.ok(e.Ran != RanNo || t.may == 0, "%s may have run and hears that it didn't", e.Request)
				p.ok(e.Ran != RanYes, "%s is told of a run nobody asked about", e.Request)
				p.ok(e.Ran == RanNo || e.Status == 502 || e.Status == 504 || e.Status == 409, "%s hears a promise: %d", e.Request, e.Status)
			case Deliver:
				t := p.of(e.Request)
				t.told++
				p.told["delivered"]++
				p.ok(t.told == 1 && !t.left, "%s is answered %d times", e.Request, t.told)
				status, ok := t.heard[e.Request][e.Attempt]
				p.ok(ok, "%s hears an answer of shot %d, which had none", e.Request, e.Attempt)
				promise := status == 408 || status == 421 || status == 429 || status == 503
				if t.keyed {
					promise = status >= 502 && status <= 504
				}
				p.ok(!promise || t.not[e.Request][e.Attempt] && t.may == 0, "%s hears a backend's promise %d that doesn't hold", e.Request, status)
			}
		}
	}
}

// waitsFor has a client that is neither answered nor gone wait for another attempt than those that
// are canceled.
func (p *troupe) waitsFor(canceled []Cancel) {
	for _, e := range canceled {
		t := p.of(e.Request)
		waits := false
		first := ident.RequestID(strings.TrimSuffix(string(e.Request), hedgeSuffix))
		for _, v := range []ident.RequestID{first, first + hedgeSuffix} {
			waits = waits || !p.canceled[v] && p.Find(v) != nil
		}
		p.ok(t.told > 0 || t.left || waits, "%s is canceled while its client waits for it", e.Request)
	}
}

func (p *troupe) end(d Dial, e Ending, status int) {
	t := p.of(d.Request)
	put := func() {
		if t.heard[d.Request] == nil {
			t.heard[d.Request], t.not[d.Request] = map[int]int{}, map[int]bool{}
		}
		t.heard[d.Request][d.Attempt] = status
	}
	switch e {
	case Complete:
		put()
	case TurnedAway, Misdirected:
		t.may--
		if e == TurnedAway {
			put()
			t.not[d.Request][d.Attempt] = true
		}
	}
	p.Ended(d.Request, d.Attempt, e, status, p.now)
	p.Freed(d.Key, e == Complete || e == TurnedAway, e == Broken, p.now)
}

func (p *troupe) step() {
	take := func(list *[]Dial) (Dial, bool) {
		if len(*list) == 0 {
			return Dial{}, false
		}
		at := rapid.IntRange(0, len(*list)-1).Draw(p.rt, "which")
		d := (*list)[at]
		*list = append(append([]Dial(nil), (*list)[:at]...), (*list)[at+1:]...)
		return d, true
	}
	switch rapid.SampledFrom([]string{"come", "dial", "dial", "end", "end", "end", "tick", "tick", "stale", "gone", "gate", "claim", "bars"}).Draw(p.rt, "what") {
	case "come":
		route := rapid.SampledFrom([]string{"once", "once!", "aim", "again", "again", "again!", "key"}).Draw(p.rt, "route")
		t := &tale{again: strings.HasPrefix(route, "again"), keyed: route == "key", heard: map[ident.RequestID]map[int]int{}, not: map[ident.RequestID]map[int]bool{}}
		p.tales[ident.RequestID("v"+strconv.Itoa(p.n+1))] = t
		if t.keyed {
			p.arrive("o")
		} else {
			p.come(route)
		}
	case "dial":
		if d, ok := take(&p.dials); ok {
			p.past = append(p.past, d)
			if rapid.IntRange(0, 4).Draw(p.rt, "fails") == 0 {
				p.ConnectFailed(d.Request, d.Attempt, d.Key, rapid.Bool().Draw(p.rt, "bar"), p.now)
				break
			}
			p.held[d.Request] = d
			if !p.Connected(d.Request, d.Attempt, p.now) {
				delete(p.held, d.Request)
				p.Freed(d.Key, true, false, p.now)
			}
		}
	case "claim":
		if len(p.claims) > 0 {
			v := p.claims[0]
			p.claims = p.claims[1:]
			code := rapid.SampledFrom([]ledger.Code{ledger.Done, ledger.Done, ledger.Done, ledger.Claimed, ledger.Invalid, ledger.Full}).Draw(p.rt, "code")
			p.Claimed(v, code, 0, p.now)
		}
	case "end":
		if d, ok := take(&p.writes); ok {
			p.past = append(p.past, d)
			e := rapid.SampledFrom([]Ending{-1, Complete, Complete, Complete, Garbled, Broken, TimedOut, TurnedAway, TurnedAway, Misdirected}).Draw(p.rt, "ending")
			status := rapid.SampledFrom([]int{200, 200, 200, 404, 408, 421, 429, 500, 502, 503, 504}).Draw(p.rt, "status")
			if p.canceled[d.Request] && rapid.Bool().Draw(p.rt, "lets go") {
				e = Canceled
			}
			switch e {
			case -1:
				p.of(d.Request).may--
				p.of(d.Request).writes--
				p.NotWritten(d.Request, d.Attempt, "broke", p.now)
				p.Freed(d.Key, false, true, p.now)
			case TurnedAway:
				p.end(d, e, rapid.SampledFrom([]int{503, 429, 400}).Draw(p.rt, "turned"))
			case Misdirected:
				p.end(d, e, 421)
			default:
				p.end(d, e, status)
			}
		}
	case "stale":
		if len(p.past) > 0 {
			d := p.past[rapid.IntRange(0, len(p.past)-1).Draw(p.rt, "past")]
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
			if p.held[d.Request].Attempt == d.Attempt {
				return
			}
			switch rapid.IntRange(0, 2).Draw(p.rt, "how") {
			case 0:
				p.NotWritten(d.Request, d.Attempt, "broke", p.now)
			case 1:
				p.Ended(d.Request, d.Attempt, rapid.SampledFrom([]Ending{Complete, TurnedAway, Misdirected, Broken}).Draw(p.rt, "ending"), 503, p.now)
			case 2:
				p.ok(!p.Connected(d.Request, d.Attempt, p.now), "%s took up a connection that is gone", d.Request)
			}
		}
	case "gone":
		if rapid.IntRange(0, 3).Draw(p.rt, "goes") == 0 && p.n > 0 {
			v := ident.RequestID("v" + strconv.Itoa(rapid.IntRange(1, p.n).Draw(p.rt, "who")))
			p.tales[v].left = p.tales[v].told == 0
			p.ClientLeft(v, p.now)
		}
	case "gate":
		p.gate = rapid.SampledFrom([]string{"", "", "", "stale"}).Draw(p.rt, "gate")
	case "bars":
		var list []pass.Backend
		for i := range 6 {
			list = append(list, pass.Backend{Addr: ident.Addr("b" + strconv.Itoa(i)), Service: "s", Life: "x", Share: 3})
		}
		p.Backends(list, p.now)
		p.Credit("s", 5)
	default:
		p.now = p.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 60, 60, 60, 300, 1200}).Draw(p.rt, "ms")) * time.Millisecond)
		p.Tick(p.now)
	}
}

func TestInWhateverOrderThingsHappenAVisitIsSentAndAnsweredOnce(t *testing.T) {
	told := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		r := newRoad(t, 6, 3, 40, 500)
		learned := rapid.Bool().Draw(rt, "learned")
		if learned {
			r.learn("again")
			r.n = 0
		}
		r.Flush()
		p := &troupe{road: r, rt: rt, tales: map[ident.RequestID]*tale{}, held: map[ident.RequestID]Dial{}, told: told, canceled: map[ident.RequestID]bool{}}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			p.step()
			p.obey()
		}
		for i := 0; (len(p.writes)+len(p.dials)+len(p.claims) > 0 || r.Open() > 0) && i < 200; i++ {
			for _, d := range p.dials {
				p.ConnectFailed(d.Request, d.Attempt, d.Key, false, p.now)
			}
			p.dials = nil
			for _, v := range p.claims {
				p.Claimed(v, ledger.Full, 0, p.now)
			}
			p.claims = nil
			list := p.writes
			p.writes = nil
			for _, d := range list {
				p.end(d, TimedOut, 0)
			}
			p.now = p.now.Add(50 * time.Millisecond)
			p.Tick(p.now)
			p.obey()
		}
		require.Zero(rt, r.Open())
		for v, t := range p.tales {
			p.ok(t.told == 1 || t.left, "%s was answered %d times", v, t.told)
		}
		for _, k := range r.State.State.Lines() {
			p.ok(k.Busy == 0, "a connection to %s stays taken", k.Addr)
		}
	})
	t.Log(told)
}
