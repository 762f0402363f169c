// Package replay plays recorded events against the reducers, for the shell's offline work.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"sloeturn/cell"
	"sloeturn/desired"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/pass"
)

const self = "replay"

type Line struct {
	Position   uint64          `json:"position"`
	AtMs       int64           `json:"atMs"`
	Generation uint64          `json:"generation"`
	Decision   string          `json:"decision"`
	Visit      string          `json:"visit,omitempty"`
	Lane       string          `json:"lane,omitempty"`
	Backend    string          `json:"backend,omitempty"`
	Status     int             `json:"status,omitempty"`
	Ran        string          `json:"ran,omitempty"`
	Reason     string          `json:"reason,omitempty"`
	RetryMs    int64           `json:"retryAfterMs,omitempty"`
	Line       int             `json:"line,omitempty"`
	Faults     []desired.Fault `json:"faults,omitempty"`
}

type event struct {
	AtMs     *int64          `json:"atMs"`
	Event    string          `json:"event"`
	Basis    uint64          `json:"basis"`
	Merge    bool            `json:"merge"`
	Desired  json.RawMessage `json:"desired"`
	Visit    string          `json:"visit"`
	Lane     string          `json:"lane"`
	Key      string          `json:"key"`
	ExpiryMs int64           `json:"expiryMs"`
	Status   int             `json:"status"`
}

type Player struct {
	*forward.State
	out    *json.Encoder
	from   uint64
	pos    uint64
	now    ident.Moment
	line   int
	sound  *cell.Soundness
	tree   any
	now_   *desired.State
	gen    ident.Generation
	claims map[string]ident.RequestID
	keys   map[ident.RequestID]pass.Key
	bars   map[ident.Addr]uint64
}

func New(out io.Writer, from uint64) *Player {
	p := &Player{out: json.NewEncoder(out), from: from, sound: cell.New(self, 1), claims: map[string]ident.RequestID{}, keys: map[ident.RequestID]pass.Key{}, bars: map[ident.Addr]uint64{}}
	p.State = forward.New(pass.New(), func(v *forward.Request, now ident.Moment) (ident.Moment, string) {
		if p.now_ == nil || p.now_.Lanes[v.Lane] == nil {
			return 0, "lane changed"
		}
		return now.Add(time.Hour), ""
	})
	return p
}

func (p *Player) say(l Line) {
	p.pos++
	l.Position, l.AtMs, l.Generation = p.pos, int64(p.now)/1e6, uint64(p.gen)
	if p.pos >= p.from {
		p.out.Encode(l)
	}
}

func (p *Player) wrong(form string, args ...any) {
	p.say(Line{Decision: "error", Line: p.line, Reason: fmt.Sprintf(form, args...)})
}

func (p *Player) Play(in io.Reader) error {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 64<<10), desired.SizeLimit+4096)
	for s.Scan() {
		p.line++
		b := bytes.TrimSpace(s.Bytes())
		if len(b) > 0 {
			p.event(b)
		}
	}
	p.pass(p.now.Add(time.Minute))
	return s.Err()
}

func (p *Player) pass(to ident.Moment) {
	for p.now.Before(to) && (p.Open() > 0) {
		p.now = min(to, p.now.Add(5*time.Millisecond))
		p.Tick(p.now)
		p.obey()
	}
	p.now = max(p.now, to)
}

func (p *Player) event(b []byte) {
	var e event
	if err := json.Unmarshal(b, &e); err != nil {
		p.wrong("not a JSON object: %v", err)
		return
	}
	if e.AtMs != nil {
		at := ident.Moment(*e.AtMs * 1e6)
		if at.Before(p.now) {
			p.wrong("atMs goes back, from %d to %d", int64(p.now)/1e6, *e.AtMs)
			return
		}
		p.pass(at)
	}
	switch e.Event {
	case "beat", "drain", "sign-off":
		a, faults := cell.ReadBeat(b, cell.Events[e.Event], "event", "atMs")
		if len(faults) > 0 {
			p.say(Line{Decision: "error", Line: p.line, Reason: "not sound", Faults: faults})
			return
		}
		a.Stands = true
		p.sound.Hear(a, p.now)
		p.refresh()
		p.say(Line{Decision: "heard", Backend: a.Addr, Reason: e.Event})
	case "desired":
		p.set(e)
	case "visit":
		p.visit(e)
	case "answer":
		p.answer(e)
	default:
		p.wrong("event %q is not known: beat, drain, sign-off, desired, visit or answer", e.Event)
	}
	p.obey()
}

func (p *Player) set(e event) {
	if e.Basis != uint64(p.gen) {
		p.wrong("another change came first: stands on %d, the newest is %d", e.Basis, p.gen)
		return
	}
	tree, faults := desired.ReadTree(e.Desired)
	if len(faults) == 0 && e.Merge {
		tree = desired.Merge(p.tree, tree)
	}
	var d *desired.State
	if len(faults) == 0 {
		d, faults = desired.Check(tree)
	}
	if len(faults) == 0 && p.now_ != nil {
		faults = d.Follows(p.now_.Edition)
	}
	if len(faults) > 0 {
		p.say(Line{Decision: "error", Line: p.line, Reason: "not sound", Faults: faults})
		return
	}
	p.gen++
	p.tree, p.now_ = tree, d
	p.Rules(d, ledger.Slots(d), 0, d.Seats(), p.now)
	p.refresh()
	p.say(Line{Decision: "in force"})
}

func (p *Player) refresh() {
	p.sound.Tick(p.now)
	var list []pass.Backend
	for _, b := range p.sound.Lines() {
		if p.bars[b.Addr] != 0 && b.Beat > p.bars[b.Addr] {
			delete(p.bars, b.Addr)
		}
		if b.State == cell.Ready && p.now_ != nil && p.now_.Services[b.Service] != nil {
			list = append(list, pass.Backend{Addr: b.Addr, Service: b.Service, Life: b.Life, Share: b.Work, Barred: p.bars[b.Addr] != 0})
		}
	}
	p.Backends(list, p.now)
}

func (p *Player) visit(e event) {
	if p.now_ == nil || p.now_.Lanes[ident.Lane(e.Lane)] == nil {
		p.say(Line{Decision: "refused", Visit: e.Visit, Lane: e.Lane, Status: 404, Ran: "no", Reason: "no such lane"})
		return
	}
	if e.Visit == "" || p.Find(ident.RequestID(e.Visit)) != nil || e.ExpiryMs <= 0 {
		p.wrong("visit needs a name of its own and expiryMs")
		return
	}
	l := p.now_.Lanes[ident.Lane(e.Lane)]
	a := forward.Arrival{ID: ident.RequestID(e.Visit), Lane: l.Name, Rule: l, Arrived: p.now, Deadline: p.now.Add(time.Duration(e.ExpiryMs) * time.Millisecond)}
	if l.Once {
		if e.Key == "" {
			p.say(Line{Decision: "refused", Visit: e.Visit, Lane: e.Lane, Status: 400, Ran: "no", Reason: "this lane needs a key"})
			return
		}
		a.Key = []byte(e.Key)
	}
	p.sound.Tick(p.now)
	p.Arrive(a, p.now)
}

func (p *Player) answer(e event) {
	v := ident.RequestID(e.Visit)
	k, ok := p.keys[v]
	if !ok {
		p.wrong("visit %q is not at a backend", e.Visit)
		return
	}
	delete(p.keys, v)
	how := forward.Complete
	if e.Status == 0 {
		how = forward.Broken
	}
	p.Ended(v, p.shot(v), how, e.Status, p.now)
	p.Freed(k, how == forward.Complete, how != forward.Complete, p.now)
}

func (p *Player) shot(v ident.RequestID) int {
	if k := p.Find(v); k != nil {
		return k.Attempt
	}
	return 0
}

func (p *Player) obey() {
	for list := p.Flush(); len(list) > 0; list = p.Flush() {
		for _, e := range list {
			p.one(e)
		}
	}
}

func (p *Player) one(e any) {
	switch e := e.(type) {
	case forward.Dial:
		p.keys[e.Request] = e.Key
		p.Connected(e.Request, e.Attempt, p.now)
	case forward.Claim:
		v := e.Request
		first, held := p.claims[string(v.Arrival.Key)]
		if held && first != v.ID {
			p.Claimed(v.ID, ledger.Claimed, 0, p.now)
			return
		}
		p.claims[string(v.Arrival.Key)] = v.ID
		p.Claimed(v.ID, ledger.Done, 0, p.now)
	case forward.Release:
		delete(p.claims, string(e.Request.Arrival.Key))
	case forward.Drop:
		if k, ok := p.keys[e.Request]; ok {
			delete(p.keys, e.Request)
			p.Freed(k, true, false, p.now)
		}
	case forward.Cut:
		if k, ok := p.keys[e.Request]; ok {
			delete(p.keys, e.Request)
			p.Ended(e.Request, p.shot(e.Request), forward.TimedOut, 0, p.now)
			p.Freed(k, false, false, p.now)
		}
	case forward.Bar:
		for _, b := range p.sound.Lines() {
			if b.Addr == e.Addr {
				p.bars[e.Addr] = b.Beat
			}
		}
	case forward.Trace:
		if e.To == forward.Sent || e.To == forward.Admitted {
			p.say(Line{Decision: e.To.String(), Visit: string(e.Request), Lane: string(e.Lane), Backend: string(e.Addr)})
		}
	case forward.Answer:
		what := "refused"
		if e.Ran != forward.RanNo {
			what = "answered"
		}
		p.say(Line{Decision: what, Visit: string(e.Request), Status: e.Status, Ran: string(e.Ran), Reason: e.Reason, RetryMs: e.RetryAfter.Milliseconds()})
	case forward.Deliver:
		p.say(Line{Decision: "delivered", Visit: string(e.Request), Ran: "yes"})
	}
}
