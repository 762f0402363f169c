package simulate

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

// newChange creates a change, whose document has 40 extra tenants.
func (w *World) newChange(base, edition uint64, tenantPrefix string) *changeRequest {
	o := w.checker
	o.count++
	r := &changeRequest{id: fmt.Sprintf("order-%d", o.count), baseEdition: base, edition: edition, firstSent: w.Now}
	var more strings.Builder
	for i := 0; i < 40; i++ {
		fmt.Fprintf(&more, `,"%s-%d-tenant-%d":{}`, tenantPrefix, o.count, i)
	}
	r.document = strings.Replace(w.routeDocument(int(edition)), `"tenants":{"mor":{}`, `"tenants":{"mor":{}`+more.String(), 1)
	o.changes[r.id] = r
	o.pending = append(o.pending, r)
	return r
}

// untriedControl returns a control process that the change has not been sent to in this round.
func (w *World) untriedControl(change *changeRequest) *Process {
	var left []*Process
	for _, p := range w.controlProcesses() {
		if !slices.Contains(change.triedMembers, p.Name) {
			left = append(left, p)
		}
	}
	if len(left) == 0 {
		change.triedMembers = nil
		left = w.controlProcesses()
	}
	return left[w.Rand.Intn(len(left))]
}

// submitToEach sends a change to one control process after another until there is a clear answer.
func (w *World) submitToEach(change *changeRequest, at *Process, done func(code ledger.Code, edition uint64)) {
	o, finished := w.checker, false
	var try func(n int, p *Process)
	try = func(n int, p *Process) {
		if finished || n > 400 {
			return
		}
		moved := false
		next := func(pause time.Duration) {
			if !moved && !finished {
				moved = true
				w.after(pause, func() { try(n+1, w.untriedControl(change)) })
			}
		}
		c := change.message()
		if w.DisabledGuard == "resent" && n > 0 {
			c.ChangeId += "-again"
		}
		w.after(resendAfter, func() { next(min(time.Second, time.Duration(n+1)*50*ms)) })
		change.attempts++
		change.triedMembers = append(change.triedMembers, p.Name)
		w.Tracef("%s goes to %s", change.id, p.Name)
		w.submitChange(p, c, func(a *wire.ProposeReply) {
			lost := w.Rand.Float64() < o.replyLossRate
			switch code := ledger.Code(a.Code); code {
			case ledger.Done:
				w.recordAcked(change, p, a, lost)
				if !lost && !finished {
					finished = true
					done(code, a.Edition)
				}
			case ledger.Stale, ledger.Invalid:
				if g := o.takenAs[change.id]; g != 0 {
					w.ReportViolation("an order that was taken was refused", "%s, generation %d, by %s: %s", change.id, g, p.Name, code)
				}
				change.refused = true
				if !lost && !finished {
					finished = true
					done(code, a.Edition)
				}
			default:
				next(time.Duration(50+w.Rand.Intn(200)) * ms)
			}
		})
	}
	try(0, at)
}

// recordAcked checks an acknowledgment against all that was acknowledged before; lost means that the operator does
// not receive it.
func (w *World) recordAcked(change *changeRequest, p *Process, a *wire.ProposeReply, lost bool) {
	o := w.checker
	if at := o.cutAt[p.Name]; at != 0 && !change.firstSent.Before(at) {
		w.ReportViolation("a yes at the cut-off side", "%s by %s", change.id, p.Name)
	}
	if id := o.winnerOf[a.Generation]; id != "" && id != change.id {
		w.ReportViolation("two winners under one number", "generation %d: %s and %s", a.Generation, id, change.id)
	}
	if id := o.editionWinner[change.edition]; id != "" && id != change.id {
		w.ReportViolation("both racers heard yes", "edition %d: %s and %s", change.edition, id, change.id)
	}
	if g := o.takenAs[change.id]; g != 0 && g != a.Generation {
		w.ReportViolation("two generations for one change", "%s: %d and %d", change.id, g, a.Generation)
	}
	o.winnerOf[a.Generation], o.editionWinner[change.edition], o.takenAs[change.id] = change.id, change.id, a.Generation
	change.acked = true
	if lost {
		return
	}
	w.Counters["orders acknowledged"]++
	w.Tracef("order %s acknowledged by %s as generation %d", change.id, p.Name, a.Generation)
	w.raiseNewestKnown(a.Generation)
	if a.Generation > w.ackedGeneration {
		w.ackedGeneration, w.ackedChange, w.ackedAt = a.Generation, change.id, w.Now
	}
}

func (w *World) raiseNewestKnown(g uint64) {
	if o := w.checker; g > o.newestKnown {
		o.newestKnown = g
		o.knownMarks = append(o.knownMarks, generationMark{w.Now, g})
	}
}

// readNewest reads the newest generation at one control process, as an operator does, and checks that it never goes
// back.
func (w *World) readNewest(p *Process) {
	floor, end := w.checker.newestKnown, w.Now.Add(readTimeout)
	answer := func(g ident.Generation, at *Process) {
		if uint64(g) < floor {
			w.ReportViolation("a read went back", "%s reads %d by %s, %d was known before it asked", p.Name, g, at.Name, floor)
		}
		w.Counters["reads"]++
		w.raiseNewestKnown(uint64(g))
	}
	var at func(q *Process, asked ident.Moment, onward bool)
	at = func(q *Process, asked ident.Moment, onward bool) {
		if !q.up || q.control == nil || w.Now.After(end) {
			return
		}
		if q.frozen {
			q.deferred = append(q.deferred, func() { at(q, asked, onward) })
			return
		}
		if w.DisabledGuard == "read" {
			asked = 0
		}
		f := q.control.Read(0, false, asked, q.clock())
		g, wait, lead, ok := f.Generation, f.Unconfirmed, f.LeaderHTTP, f.OK
		to := w.processByAddr[lead]
		switch {
		case ok:
			w.after(hopDelay, func() {
				if q == p || p.up && !w.cutLinks[[2]string{q.Name, p.Name}] {
					answer(g, q)
				}
			})
		case wait:
			w.after(5*ms, func() { at(q, asked, onward) })
		case !onward && to != nil && to != q && !w.cutLinks[[2]string{q.Name, to.Name}]:
			w.after(hopDelay, func() { at(to, to.clock(), true) })
		}
	}
	w.after(hopDelay, func() { at(p, p.clock(), false) })
}

// generateChanges has operators submit changes, each based on the one before, with pauses of minPause to maxPause,
// and reads at all control processes.
func (w *World) generateChanges(minPause, maxPause time.Duration) (stop func()) {
	on, knownEdition := true, uint64(firstEdition)
	var next, look func()
	next = func() {
		if !on {
			return
		}
		w.after(minPause+time.Duration(w.Rand.Int63n(int64(maxPause-minPause))), next)
		if len(w.checker.pending) >= 8 {
			return
		}
		list := w.controlProcesses()
		r := w.newChange(knownEdition, knownEdition+1, "one")
		knownEdition++
		w.submitToEach(r, list[w.Rand.Intn(len(list))], func(code ledger.Code, edition uint64) {
			if code == ledger.Stale {
				knownEdition = edition
			}
		})
	}
	look = func() {
		if on {
			w.after(150*ms, look)
			list := w.controlProcesses()
			w.readNewest(list[w.Rand.Intn(len(list))])
		}
	}
	next()
	look()
	return func() { on = false }
}

// settleChanges waits for all changes to be answered and checks that the newest generation comes into effect.
func (w *World) settleChanges() {
	if w.checker == nil {
		return
	}
	for k := 0; k < 200 && len(w.checker.pending) > 0; k++ {
		w.Run(50 * ms)
	}
	w.Run(w.ContactTime + w.CatchUpTime)
	if l := w.Leader(); l != nil {
		w.auditHistory(l)
		if l.control.Ledger.EffectiveGeneration < l.control.Ledger.Generation {
			w.ReportViolation("the newest generation never came in force", "%d of %d", l.control.Ledger.EffectiveGeneration, l.control.Ledger.Generation)
		}
	}
}

func (r *changeRequest) message() *wire.SetDesired {
	return &wire.SetDesired{ByEdition: true, Basis: r.baseEdition, ChangeId: r.id, Doc: []byte(r.document)}
}
