package simulate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"sloeturn/control"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/register"
	"sloeturn/wire"
)

const (
	operators   = 5
	answerMost  = time.Second
	patience    = 6 * time.Second
	judgeMost   = 20 * time.Second
	notLinear   = "orders are not linear"
	notJudged   = "orders were not judged"
	unanswered  = "an operator had no clear answer after the trouble"
	fewAnswered = "too few orders had a clear answer"
)

// desk is where operators' calls are made and written down.
type desk struct {
	w     *World
	calls []*register.Call
	known uint64
	open  int
	value uint64
}

func (d *desk) since() time.Duration { return d.w.Now.Sub(d.w.start) }

// valueOf reads the register's value out of a state; settings that no visit here is bound by hold it.
func valueOf(doc []byte) register.Value {
	var m struct {
		Edition uint64
		Limits  struct{ HeadBytes, BodyBytes uint64 }
	}
	json.Unmarshal(doc, &m)
	return register.Value{Version: m.Edition, One: m.Limits.HeadBytes, Two: m.Limits.BodyBytes}
}

func (d *desk) patch(c *register.Call) any {
	limits := map[string]any{"headBytes": json.Number(strconv.FormatUint(c.Value.One, 10))}
	if c.Kind == register.Replace {
		limits["bodyBytes"] = json.Number(strconv.FormatUint(c.Value.Two, 10))
	}
	return map[string]any{"edition": json.Number(strconv.FormatUint(c.Value.Version, 10)), "limits": limits}
}

func (d *desk) whole(c *register.Call) []byte {
	base, _ := desired.ReadTree([]byte(d.w.Doc0(d.w.Nodes, 1, 2, Cap)))
	return desired.Write(desired.Merge(base, d.patch(c)))
}

// lossy sends a call to one machine and back; either way may lose it, and the operator waits no longer than a second.
func (d *desk) lossy(send func(reply func(any)), heard func(any)) {
	over := false
	end := func(v any) {
		if !over {
			over = true
			heard(v)
		}
	}
	d.w.at(answerMost, func() { end(nil) })
	if d.w.Rand.Intn(12) == 0 {
		return
	}
	lost := d.w.Rand.Intn(6) == 0
	send(func(v any) {
		if !lost {
			d.w.at(time.Duration(1+d.w.Rand.Intn(20))*ms, func() { end(v) })
		}
	})
}

func (d *desk) read(p *Proc, hop bool, reply func(any)) {
	w := d.w
	w.at(ms, func() {
		asked := p.clock()
		var look func()
		look = func() {
			if !p.up || p.control == nil {
				reply(nil)
				return
			}
			p.step(control.Query{Do: func(s *control.State, now ident.Moment) {
				f := s.Read(0, false, asked, now)
				if w.Weak == "reads" {
					f = control.Found{OK: s.Book.Generation > 0}
					if l := s.Book.Line(s.Book.Generation); l != nil {
						f.Doc = l.Doc
					}
				}
				to := w.byAddr[f.Lead]
				switch {
				case f.Wait && now.Sub(asked) < control.ReadWait:
					w.at(5*ms, look)
				case f.OK && f.Doc != nil:
					reply(f.Doc)
				case to != nil && !hop && !w.cut[[2]string{p.Name, to.Name}] && !w.cut[[2]string{to.Name, p.Name}]:
					d.read(to, true, reply)
				default:
					reply(nil)
				}
			}})
		}
		look()
	})
}

func (d *desk) order(p *Proc, c *register.Call, reply func(any)) {
	id := sha256.Sum256([]byte(c.ID))
	set := &wire.SetDesired{ByEdition: true, Basis: c.Basis, ChangeId: hex.EncodeToString(id[:]), KeepCalendar: true}
	put := func() {
		if s := p.control; d.w.Weak == "contact" && p.up && !p.frozen && s != nil && s.Agree != nil && s.Agree.Firm() && s.Book.Taken(set.ChangeId) == nil && s.Book.EndEdition() != c.Basis {
			reply(&wire.ProposeReply{Code: uint32(ledger.Stale)})
			return
		}
		d.w.change(p, set, func(r *wire.ProposeReply) { reply(r) })
	}
	switch {
	case c.Kind == register.Replace:
		set.Doc = d.whole(c)
		put()
	case c.Operator%2 == 0:
		set.Merge, set.Doc = true, desired.Write(d.patch(c))
		put()
	default:
		d.read(p, false, func(v any) {
			doc, ok := v.([]byte)
			tree, faults := desired.ReadTree(doc)
			switch {
			case !ok || len(faults) > 0:
				reply(nil)
			case valueOf(doc).Version < c.Basis:
				reply(&wire.ProposeReply{Code: uint32(ledger.Stale)})
			default:
				set.Doc = desired.Write(desired.Merge(tree, d.patch(c)))
				put()
			}
		})
	}
}

// make makes one call: to any control process, and while there is no clear answer again as it was, to any other.
func (d *desk) make(c *register.Call, most time.Duration, done func()) {
	c.From = d.since()
	d.calls = append(d.calls, c)
	d.open++
	pause := 100 * ms
	var try func()
	end := func(o register.Outcome) {
		c.Outcome, c.To = o, d.since()
		d.open--
		d.w.Say("orders: %v", *c)
		done()
	}
	try = func() {
		p := d.w.someControl()
		d.lossy(func(reply func(any)) {
			if c.Kind == register.Read {
				d.read(p, false, reply)
			} else {
				d.order(p, c, reply)
			}
		}, func(v any) {
			r, _ := v.(*wire.ProposeReply)
			doc, read := v.([]byte)
			switch code := ledger.Code(r.GetCode()); {
			case read:
				c.Got = valueOf(doc)
				d.known = max(d.known, c.Got.Version)
				end(register.Done)
			case r != nil && code == ledger.Done:
				c.Got.Version = r.Edition
				d.known = max(d.known, r.Edition)
				end(register.Done)
			case r != nil && (code == ledger.Stale || code == ledger.Invalid):
				d.known = max(d.known, r.Edition)
				end(register.Refused)
			case d.since()-c.From > most:
				end(register.Unclear)
			default:
				d.w.at(pause, try)
				pause = min(2*pause, time.Second)
			}
		})
	}
	try()
}

func (d *desk) next(who int) *register.Call {
	r := d.w.Rand
	if r.Intn(6) == 0 {
		for range d.calls {
			if o := d.calls[r.Intn(len(d.calls))]; o.Kind != register.Read {
				return &register.Call{Operator: who, Kind: o.Kind, ID: o.ID, Basis: o.Basis, Value: o.Value}
			}
		}
	}
	if r.Intn(5) < 2 {
		return &register.Call{Operator: who}
	}
	d.value++
	c := &register.Call{Operator: who, Kind: register.Replace, Basis: d.known}
	c.Value = register.Value{Version: d.known + 1, One: d.value, Two: d.value}
	if r.Intn(3) == 0 {
		c.Kind, c.Value.Two = register.Modify, 0
	}
	c.ID = fmt.Sprintf("%d on %d: %v", c.Kind, c.Basis, c.Value)
	return c
}

func (d *desk) work(who int, stop *bool) {
	d.w.at(time.Duration(50+d.w.Rand.Intn(700))*ms, func() {
		if *stop {
			return
		}
		d.make(d.next(who), patience, func() { d.work(who, stop) })
	})
}

// burst calls while there may be two leaders: one cut off that doesn't know it, and the next.
func (d *desk) burst() {
	for i := 0; i < 16; i++ {
		d.w.at(time.Duration(500+45*i)*ms, func() {
			c := &register.Call{Operator: i % operators}
			if i%2 > 0 {
				c = d.next(i % operators)
			}
			d.make(c, patience, func() {})
		})
	}
}

// judged lets all calls end after the trouble, sends each order once more, reads at every control process, and has the history judged.
func (d *desk) judged(r *Result) {
	w := d.w
	for i := 0; i < 300 && d.open > 0; i++ {
		w.Run(100 * ms)
	}
	seen, late := map[string]bool{}, 0
	for _, c := range append([]*register.Call(nil), d.calls...) {
		if c.Kind == register.Read || seen[c.ID] {
			continue
		}
		seen[c.ID] = true
		again := &register.Call{Operator: operators, Kind: c.Kind, ID: c.ID, Basis: c.Basis, Value: c.Value}
		d.make(again, time.Minute, func() {})
		for i := 0; i < 900 && d.open > 0; i++ {
			w.Run(100 * ms)
		}
		if again.Outcome == register.Unclear {
			late++
		}
	}
	for i := 0; i < w.Controls; i++ {
		d.make(&register.Call{Operator: operators + 1}, time.Minute, func() {})
	}
	for i := 0; i < 900 && d.open > 0; i++ {
		w.Run(100 * ms)
	}
	var list []register.Call
	clear, orders := 0, 0
	for _, c := range d.calls {
		if c.To == 0 {
			c.Outcome = register.Unclear
		}
		if list = append(list, *c); c.Kind != register.Read {
			if orders++; c.Outcome != register.Unclear {
				clear++
			}
		}
		w.Count["orders "+[...]string{"unclear", "done", "refused"}[c.Outcome]]++
	}
	if late > 0 || d.open > 0 {
		w.Break(unanswered, "%d orders sent again, %d calls still open", late, d.open)
	}
	if clear*2 < orders || orders < 20 {
		w.Break(fewAnswered, "%d of %d", clear, orders)
	}
	switch verdict, text := register.Judge(list, judgeMost); verdict {
	case register.Broken:
		w.Break(notLinear, "%s", text)
	case register.Undecided:
		w.Break(notJudged, "%s", text)
	}
}

func (w *World) ordered(r *Result, gen *uint64) {
	d := &desk{w: w}
	stop := false
	for i := 0; i < operators; i++ {
		d.work(i, &stop)
	}
	kinds := []int{1, 1, 2, 3, 4, 5, 6, 7, 12, 13, 17, 20, 21, 21, 21, 22, 29, 32, 35}
	for k, end := 0, w.Now.Add(25*time.Second); w.Now.Before(end); k++ {
		name := w.cause(kinds[w.Rand.Intn(len(kinds))], k, gen)
		if r.Faults[name]++; name == "isolate the leader" {
			d.burst()
		}
		w.Run(time.Duration(500+w.Rand.Intn(2500)) * ms)
	}
	stop = true
	w.restore()
	w.Run(5 * time.Second)
	d.judged(r)
}
