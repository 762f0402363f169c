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
	operatorCount    = 5
	callTimeout      = time.Second
	operatorPatience = 6 * time.Second
	checkTimeout     = 20 * time.Second
	notLinear        = "orders are not linear"
	notJudged        = "orders were not judged"
	unanswered       = "an operator had no clear answer after the trouble"
	fewAnswered      = "too few orders had a clear answer"
)

// operatorGroup makes the operators' calls and keeps their history.
type operatorGroup struct {
	w            *World
	history      []*register.Call
	knownEdition uint64
	openCalls    int
	lastValue    uint64
}

func (d *operatorGroup) elapsed() time.Duration { return d.w.Now.Sub(d.w.start) }

// valueOf extracts the register's value from a document. It is held in limits that no simulated request reaches.
func valueOf(doc []byte) register.Value {
	var m struct {
		Edition uint64
		Limits  struct{ HeadBytes, BodyBytes uint64 }
	}
	json.Unmarshal(doc, &m)
	return register.Value{Version: m.Edition, First: m.Limits.HeadBytes, Second: m.Limits.BodyBytes}
}

func (d *operatorGroup) patch(c *register.Call) any {
	limits := map[string]any{"headBytes": json.Number(strconv.FormatUint(c.Value.First, 10))}
	if c.Kind == register.Replace {
		limits["bodyBytes"] = json.Number(strconv.FormatUint(c.Value.Second, 10))
	}
	return map[string]any{"edition": json.Number(strconv.FormatUint(c.Value.Version, 10)), "limits": limits}
}

func (d *operatorGroup) fullDocument(c *register.Call) []byte {
	base, _ := desired.ReadTree([]byte(d.w.Document(d.w.Nodes, 1, 2, MaxBackendConnections)))
	return desired.Write(desired.Merge(base, d.patch(c)))
}

// callLossy sends a call to one control process and back. Either way may lose it, and the operator waits for a
// second at most.
func (d *operatorGroup) callLossy(send func(reply func(any)), onReply func(any)) {
	finished := false
	end := func(v any) {
		if !finished {
			finished = true
			onReply(v)
		}
	}
	d.w.after(callTimeout, func() { end(nil) })
	if d.w.Rand.Intn(12) == 0 {
		return
	}
	lost := d.w.Rand.Intn(6) == 0
	send(func(v any) {
		if !lost {
			d.w.after(time.Duration(1+d.w.Rand.Intn(20))*ms, func() { end(v) })
		}
	})
}

func (d *operatorGroup) read(p *Process, hop bool, reply func(any)) {
	w := d.w
	w.after(ms, func() {
		asked := p.clock()
		var poll func()
		poll = func() {
			if !p.up || p.control == nil {
				reply(nil)
				return
			}
			p.step(control.Query{Do: func(s *control.State, now ident.Moment) {
				f := s.Read(0, false, asked, now)
				if w.DisabledGuard == "reads" {
					f = control.ReadResult{OK: s.Ledger.Generation > 0}
					if l := s.Ledger.HistoryEntry(s.Ledger.Generation); l != nil {
						f.Document = l.Doc
					}
				}
				to := w.processByAddr[f.LeaderHTTP]
				switch {
				case f.Unconfirmed && now.Sub(asked) < control.ReadTimeout:
					w.after(5*ms, poll)
				case f.OK && f.Document != nil:
					reply(f.Document)
				case to != nil && !hop && !w.cutLinks[[2]string{p.Name, to.Name}] && !w.cutLinks[[2]string{to.Name, p.Name}]:
					d.read(to, true, reply)
				default:
					reply(nil)
				}
			}})
		}
		poll()
	})
}

// submit sends a change as a whole document, as a patch, or as a patch merged by the client into what it read.
func (d *operatorGroup) submit(p *Process, c *register.Call, reply func(any)) {
	id := sha256.Sum256([]byte(c.ID))
	set := &wire.SetDesired{ByEdition: true, Basis: c.BaseVersion, ChangeId: hex.EncodeToString(id[:]), KeepCalendar: true}
	put := func() {
		if s := p.control; d.w.DisabledGuard == "contact" && p.up && !p.frozen && s != nil && s.Agreement != nil && s.Agreement.HasCommittedInTerm() && s.Ledger.ChangeRecordOf(set.ChangeId) == nil && s.Ledger.LatestEdition() != c.BaseVersion {
			reply(&wire.ProposeReply{Code: uint32(ledger.Stale)})
			return
		}
		d.w.submitChange(p, set, func(r *wire.ProposeReply) { reply(r) })
	}
	switch {
	case c.Kind == register.Replace:
		set.Doc = d.fullDocument(c)
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
			case valueOf(doc).Version < c.BaseVersion:
				reply(&wire.ProposeReply{Code: uint32(ledger.Stale)})
			default:
				set.Doc = desired.Write(desired.Merge(tree, d.patch(c)))
				put()
			}
		})
	}
}

// call makes one call at a random control process and retries it unchanged at any of them until there is a clear
// answer.
func (d *operatorGroup) call(c *register.Call, timeout time.Duration, done func()) {
	c.Start = d.elapsed()
	d.history = append(d.history, c)
	d.openCalls++
	pause := 100 * ms
	var try func()
	end := func(o register.Outcome) {
		c.Outcome, c.End = o, d.elapsed()
		d.openCalls--
		d.w.Tracef("orders: %v", *c)
		done()
	}
	try = func() {
		p := d.w.randomControl()
		d.callLossy(func(reply func(any)) {
			if c.Kind == register.Read {
				d.read(p, false, reply)
			} else {
				d.submit(p, c, reply)
			}
		}, func(v any) {
			r, _ := v.(*wire.ProposeReply)
			doc, read := v.([]byte)
			switch code := ledger.Code(r.GetCode()); {
			case read:
				c.Observed = valueOf(doc)
				d.knownEdition = max(d.knownEdition, c.Observed.Version)
				end(register.Done)
			case r != nil && code == ledger.Done:
				c.Observed.Version = r.Edition
				d.knownEdition = max(d.knownEdition, r.Edition)
				end(register.Done)
			case r != nil && (code == ledger.Stale || code == ledger.Invalid):
				d.knownEdition = max(d.knownEdition, r.Edition)
				end(register.Rejected)
			case d.elapsed()-c.Start > timeout:
				end(register.Unknown)
			default:
				d.w.after(pause, try)
				pause = min(2*pause, time.Second)
			}
		})
	}
	try()
}

// nextCall draws what an operator does next: it repeats an earlier call, reads, replaces or modifies.
func (d *operatorGroup) nextCall(operator int) *register.Call {
	r := d.w.Rand
	if r.Intn(6) == 0 {
		for range d.history {
			if o := d.history[r.Intn(len(d.history))]; o.Kind != register.Read {
				return &register.Call{Operator: operator, Kind: o.Kind, ID: o.ID, BaseVersion: o.BaseVersion, Value: o.Value}
			}
		}
	}
	if r.Intn(5) < 2 {
		return &register.Call{Operator: operator}
	}
	d.lastValue++
	c := &register.Call{Operator: operator, Kind: register.Replace, BaseVersion: d.knownEdition}
	c.Value = register.Value{Version: d.knownEdition + 1, First: d.lastValue, Second: d.lastValue}
	if r.Intn(3) == 0 {
		c.Kind, c.Value.Second = register.Modify, 0
	}
	c.ID = fmt.Sprintf("%d on %d: %v", c.Kind, c.BaseVersion, c.Value)
	return c
}

func (d *operatorGroup) runOperator(operator int, stop *bool) {
	d.w.after(time.Duration(50+d.w.Rand.Intn(700))*ms, func() {
		if *stop {
			return
		}
		d.call(d.nextCall(operator), operatorPatience, func() { d.runOperator(operator, stop) })
	})
}

// callBurst makes calls while there may be two leaders: one that is cut off and does not know it, and the next.
func (d *operatorGroup) callBurst() {
	for i := 0; i < 16; i++ {
		d.w.after(time.Duration(500+45*i)*ms, func() {
			c := &register.Call{Operator: i % operatorCount}
			if i%2 > 0 {
				c = d.nextCall(i % operatorCount)
			}
			d.call(c, operatorPatience, func() {})
		})
	}
}

// checkHistory lets all calls end after the faults, sends each change once more, reads at every control process and
// has the history checked for linearizability.
func (d *operatorGroup) checkHistory(r *Result) {
	w := d.w
	for i := 0; i < 300 && d.openCalls > 0; i++ {
		w.Run(100 * ms)
	}
	seen, unclearAgain := map[string]bool{}, 0
	for _, c := range append([]*register.Call(nil), d.history...) {
		if c.Kind == register.Read || seen[c.ID] {
			continue
		}
		seen[c.ID] = true
		again := &register.Call{Operator: operatorCount, Kind: c.Kind, ID: c.ID, BaseVersion: c.BaseVersion, Value: c.Value}
		d.call(again, time.Minute, func() {})
		for i := 0; i < 900 && d.openCalls > 0; i++ {
			w.Run(100 * ms)
		}
		if again.Outcome == register.Unknown {
			unclearAgain++
		}
	}
	for i := 0; i < w.Controls; i++ {
		d.call(&register.Call{Operator: operatorCount + 1}, time.Minute, func() {})
	}
	for i := 0; i < 900 && d.openCalls > 0; i++ {
		w.Run(100 * ms)
	}
	var list []register.Call
	clear, orders := 0, 0
	for _, c := range d.history {
		if c.End == 0 {
			c.Outcome = register.Unknown
		}
		if list = append(list, *c); c.Kind != register.Read {
			if orders++; c.Outcome != register.Unknown {
				clear++
			}
		}
		w.Counters["orders "+[...]string{"unclear", "done", "refused"}[c.Outcome]]++
	}
	if unclearAgain > 0 || d.openCalls > 0 {
		w.ReportViolation(unanswered, "%d orders sent again, %d calls still open", unclearAgain, d.openCalls)
	}
	if clear*2 < orders || orders < 20 {
		w.ReportViolation(fewAnswered, "%d of %d", clear, orders)
	}
	switch verdict, text := register.Check(list, checkTimeout); verdict {
	case register.NotLinearizable:
		w.ReportViolation(notLinear, "%s", text)
	case register.Undecided:
		w.ReportViolation(notJudged, "%s", text)
	}
}

// runOperators has several operators work while faults are injected, and has their history checked.
func (w *World) runOperators(r *Result, gen *uint64) {
	d := &operatorGroup{w: w}
	stop := false
	for i := 0; i < operatorCount; i++ {
		d.runOperator(i, &stop)
	}
	kinds := []int{1, 1, 2, 3, 4, 5, 6, 7, 12, 13, 17, 20, 21, 21, 21, 22, 29, 32, 35}
	for k, end := 0, w.Now.Add(25*time.Second); w.Now.Before(end); k++ {
		name := w.injectFault(kinds[w.Rand.Intn(len(kinds))], k, gen)
		if r.Faults[name]++; name == "isolate the leader" {
			d.callBurst()
		}
		w.Run(time.Duration(500+w.Rand.Intn(2500)) * ms)
	}
	stop = true
	w.restoreAll()
	w.Run(5 * time.Second)
	d.checkHistory(r)
}
