package control

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"sloeturn/calendar"
	"sloeturn/desired"
	"sloeturn/duty"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

const (
	ClockEvery = 500 * time.Millisecond
	ClockStale = 3 * time.Second
	JudgeEvery = 200 * time.Millisecond
	LeadLeast  = 10 * time.Second
	ClockSlack = 5 * time.Minute
	PastFor    = 5 * time.Second
	PastGap    = time.Second
)

type (
	Clock struct {
		UnixMs int64
		At     ident.Moment
	}
	Watch struct{ On bool }
)

type span struct{ from, last ident.Moment }

type bound struct {
	clock    Clock
	watching bool
	judgeAt  ident.Moment
	mute     bool
	muteAt   ident.Moment
	turning  bool
	past     map[string]span
	landTurn uint64
	cal      *calendar.Calendar
	calOf    map[string]*desired.Blackout
	calGen   ident.Generation
	seen     *calendar.Calendar
}

func (b Boot) scale() int64 { return max(1, b.ClockScale) }

// lead is how long before its first moment a period opens, so that no change made before it is still on its way when it begins.
func (s *State) lead() int64 {
	return max(LeadLeast, 2*s.Relay.LeaseFor, s.Relay.Stale+s.Relay.LeaseFor).Milliseconds() * s.scale()
}

// hush says that a period is about to begin while a change made before it is not yet agreed; no fresh word goes out then, lest nodes enter the period on the old routes and get the new ones in it.
func (s *State) hush(now ident.Moment) bool {
	if !s.watching || uint64(s.Book.Index) >= s.setIndex || s.turning {
		return false
	}
	cal := s.current()
	if cal == nil {
		return false
	}
	clocks, _ := s.Agree.Clocks(now)
	for _, n := range cal.Regions() {
		if s.Book.Open(n) != nil {
			continue
		}
		for _, ms := range clocks {
			if p, ok := cal.At(n, ms+s.lead()); ok && p.Until > s.Book.Periods[n].GetClosedMs() {
				return true
			}
		}
	}
	return false
}

func (s *State) slack() int64 { return ClockSlack.Milliseconds() * s.scale() }

func (s *State) wall(now ident.Moment) int64 {
	d := now.Sub(s.clock.At)
	if !s.watching || s.clock.UnixMs == 0 || d > ClockStale {
		return 0
	}
	return s.clock.UnixMs + d.Milliseconds()
}

// bounded says whether a calendar stands, or anything that one left behind.
func (s *State) bounded() bool {
	if len(s.Book.Held) > 0 {
		return true
	}
	for _, p := range s.Book.Periods {
		if p.Open {
			return true
		}
	}
	if s.Book.Generation == 0 {
		return false
	}
	d := s.Book.State(s.Book.Generation)
	return d != nil && len(d.Blackouts) > 0
}

func (s *State) watch(now ident.Moment) {
	if s.Agree == nil {
		return
	}
	if on := s.bounded(); on != s.watching {
		s.watching, s.clock = on, Clock{}
		s.out = append(s.out, Watch{on})
	}
	if s.watching && s.Agree.Steady(now) && now.Sub(s.judgeAt) >= JudgeEvery {
		s.judgeAt = now
		s.judge(now)
	}
}

func (s *State) calendarOf(d *desired.State) (*calendar.Calendar, []desired.Fault) {
	if d == nil || len(d.Blackouts) == 0 {
		return nil, nil
	}
	if s.cal != nil && reflect.DeepEqual(s.calOf, d.Blackouts) {
		return s.cal, nil
	}
	c, faults := calendar.Read(d)
	if len(faults) == 0 {
		s.cal, s.calOf = c, d.Blackouts
	}
	return c, faults
}

// current is the calendar in force.
func (s *State) current() *calendar.Calendar {
	if g := s.Book.Generation; s.calGen != g || s.seen == nil {
		s.calGen = g
		s.seen, _ = s.calendarOf(s.Book.State(g))
	}
	return s.seen
}

func (s *State) turn(region string, kind uint32, p calendar.Period, now ident.Moment) {
	i, ok := s.Agree.Propose(&wire.Change{Body: &wire.Change_PeriodTurn{PeriodTurn: &wire.PeriodTurn{Turn: s.Book.Turn, Region: region, Kind: kind, FromMs: p.From, UntilMs: p.Until}}}, now)
	if ok {
		s.setIndex, s.turning = i, true
	}
}

// judge opens and closes periods and lands what is held; it says whether a change may be decided on now.
func (s *State) judge(now ident.Moment) bool {
	if !s.bounded() {
		return true
	}
	if uint64(s.Book.Index) < s.setIndex {
		return false
	}
	clocks, voters := s.Agree.Clocks(now)
	most := voters/2 + 1
	if len(clocks) < most {
		s.past = nil
		if s.muteAt == 0 {
			s.muteAt = now
		}
		if !s.mute && now.Sub(s.muteAt) > ClockStale {
			s.mute = true
			s.out = append(s.out, Note{"No majority of voters tells its wall clock; changes wait."})
		}
		return false
	}
	if s.muteAt = 0; s.mute {
		s.mute = false
		s.out = append(s.out, Note{"A majority of voters tells its wall clock again."})
	}
	names := s.Book.OpenRegions()
	cal := s.current()
	if cal != nil {
		for _, n := range cal.Regions() {
			if !slices.Contains(names, n) {
				names = append(names, n)
			}
		}
	}
	for _, n := range names {
		if s.lasts(n+" behind", s.behind(n, clocks, most), now) && s.Agree.Resign(now) {
			s.past = nil
			s.out = append(s.out, Note{"Hands leadership on: this wall clock is behind a majority's at the end of " + n + "'s period."})
			return false
		}
		kind, p := s.period(n, cal, clocks, voters)
		if !s.lasts(n, kind == ledger.Closed, now) && kind == ledger.Closed {
			continue
		}
		if kind != 0 {
			s.turn(n, kind, p, now)
			return false
		}
	}
	return !s.landing(now)
}

// behind says whether the leader's clock alone keeps a period from closing.
func (s *State) behind(name string, clocks []int64, most int) bool {
	p := s.Book.Open(name)
	return p != nil && clocks[0] < p.UntilMs && count(clocks, func(ms int64) bool { return ms >= p.UntilMs }) >= most
}

// lasts says whether a period's end has been told without a break for longer than any reading is kept, so that no two clocks that leapt one after the other make a majority.
func (s *State) lasts(name string, past bool, now ident.Moment) bool {
	if !past {
		delete(s.past, name)
		return false
	}
	if s.past == nil {
		s.past = map[string]span{}
	}
	k, ok := s.past[name]
	if !ok || now.Sub(k.last) > PastGap {
		k.from = now
	}
	k.last = now
	s.past[name] = k
	return now.Sub(k.from) >= PastFor
}

func count(clocks []int64, f func(ms int64) bool) int {
	n := 0
	for _, ms := range clocks {
		if f(ms) {
			n++
		}
	}
	return n
}

func (s *State) period(name string, cal *calendar.Calendar, clocks []int64, voters int) (uint32, calendar.Period) {
	most, lead, slack := voters/2+1, s.lead(), s.slack()
	if p := s.Book.Open(name); p != nil {
		now := calendar.Period{From: p.FromMs, Until: p.UntilMs}
		if cal != nil {
			if q, ok := cal.At(name, p.UntilMs); ok {
				return ledger.Lengthened, q
			}
		}
		past := func(ms int64) bool { return ms >= p.UntilMs }
		if past(clocks[0]) && count(clocks, past) >= most {
			return ledger.Closed, now
		}
		if p.Doubt && count(clocks, func(ms int64) bool { return ms+lead+slack < p.FromMs }) == voters {
			return ledger.TakenBack, now
		}
		return 0, now
	}
	closed := s.Book.Periods[name].GetClosedMs()
	for _, ms := range clocks {
		p, ok := cal.At(name, ms+lead)
		if !ok || p.Until <= closed {
			continue
		}
		switch far := count(clocks, func(ms int64) bool { return ms+lead+slack < p.From }); {
		case far == 0:
			return ledger.Opened, p
		case far < most:
			return ledger.Doubted, p
		}
	}
	return 0, calendar.Period{}
}

func tree(doc []byte) any {
	if doc == nil {
		return map[string]any{}
	}
	t, _ := desired.ReadTree(doc)
	return t
}

func bare(t any) any {
	m, _ := t.(map[string]any)
	out := map[string]any{}
	for k, v := range m {
		if k != "edition" {
			out[k] = v
		}
	}
	return out
}

func edited(t any, edition uint64) any {
	out := bare(t).(map[string]any)
	if edition > 0 {
		out["edition"] = number(edition)
	}
	return out
}

func (s *State) inForceTree() any {
	if l := s.Book.Line(s.Book.Generation); l != nil {
		return tree(l.Doc)
	}
	return map[string]any{}
}

// endTree is the state at the end of the queue.
func (s *State) endTree() any {
	t := s.inForceTree()
	for _, h := range s.Book.Held {
		t = desired.Merge(t, tree(h.Patch))
	}
	return edited(t, s.Book.EndEdition())
}

func (s *State) sound(t any) (*desired.State, []byte, []desired.Fault) {
	doc := desired.Write(t)
	d, faults := desired.Read(doc)
	if len(faults) == 0 {
		_, faults = s.calendarOf(d)
	}
	return d, doc, faults
}

// withCalendar lays the calendar that stands onto a whole state whose writer knows of none.
func (s *State) withCalendar(t any) any {
	if !s.bounded() {
		return t
	}
	m, ok := t.(map[string]any)
	if !ok || m["regions"] != nil || m["blackouts"] != nil {
		return t
	}
	end := s.endTree().(map[string]any)
	patch := map[string]any{}
	for _, k := range []string{"regions", "blackouts"} {
		if v, ok := end[k]; ok {
			patch[k] = v
		}
	}
	old, _ := end["services"].(map[string]any)
	now, _ := m["services"].(map[string]any)
	services := map[string]any{}
	for n, v := range old {
		if o, ok := v.(map[string]any); ok && o["regions"] != nil && now[n] != nil {
			services[n] = map[string]any{"regions": o["regions"]}
		}
	}
	if len(services) > 0 {
		patch["services"] = services
	}
	return desired.Merge(t, patch)
}

// touched names the regions that a change from a to b touches, and of these those that stand still just now.
func (s *State) touched(a, b *desired.State) (all, still []string) {
	all = desired.Touched(a, b)
	cal, _ := s.calendarOf(b)
	for _, n := range s.Book.OpenRegions() {
		p := s.Book.Open(n)
		keeps := false
		if cal != nil {
			q, ok := cal.At(n, p.UntilMs-1)
			keeps = ok && q.From <= p.FromMs
		}
		if !keeps && !slices.Contains(all, n) {
			all = append(all, n)
		}
		if slices.Contains(all, n) {
			still = append(still, n)
		}
	}
	return all, still
}

func (s *State) until(regions []string) (ms int64) {
	for _, n := range regions {
		ms = max(ms, s.Book.Open(n).GetUntilMs())
	}
	return ms
}

// landing proposes the one generation for all that is held and free.
func (s *State) landing(now ident.Moment) bool {
	if s.landTurn == s.Book.Turn+1 || !slices.ContainsFunc(s.Book.Held, s.waitsForNone) {
		return false
	}
	var doc []byte
	var places []uint64
	for _, way := range []int{byRegion, oneByOne, inOrder} {
		if doc, places = s.free(way); len(places) > 0 {
			break
		}
	}
	if len(places) == 0 {
		s.landTurn = s.Book.Turn + 1
		return false
	}
	i, ok := s.Agree.Propose(&wire.Change{Body: &wire.Change_Land{Land: &wire.Land{Basis: uint64(s.Book.Generation), Turn: s.Book.Turn, Doc: doc, Places: places}}}, now)
	if ok {
		s.setIndex, s.turning = i, false
	}
	return ok
}

func (s *State) waitsForNone(h *wire.Held) bool {
	return !h.Applied && !slices.ContainsFunc(h.Regions, func(n string) bool { return s.Book.Open(n) != nil })
}

const (
	byRegion = iota
	oneByOne
	inOrder
)

// free gives the state in which all that is held and free is in force. Taken all at once, a state between two changes need not be sound; where that fails they are tried one by one, and at last no later one before an earlier.
func (s *State) free(way int) ([]byte, []uint64) {
	from := s.Book.State(s.Book.Generation)
	t, at := s.inForceTree(), from
	var places []uint64
	left := false
	for _, h := range s.Book.Held {
		next := desired.Merge(t, tree(h.Patch))
		switch {
		case way == byRegion && h.Applied:
			t = next
		case way == byRegion && s.waitsForNone(h):
			t, places = next, append(places, h.Place)
		case !h.Applied && (!s.waitsForNone(h) || way == inOrder && left):
			left = true
		default:
			d, _, faults := s.sound(next)
			if len(faults) == 0 && !h.Applied {
				_, still := s.touched(at, d)
				left = left || len(still) > 0
				if len(still) > 0 {
					continue
				}
				places = append(places, h.Place)
			}
			if len(faults) > 0 {
				left = left || !h.Applied
				continue
			}
			t, at = next, d
		}
	}
	if !left {
		t = edited(t, s.Book.EndEdition())
	}
	d, doc, faults := s.sound(t)
	if len(faults) > 0 {
		return nil, nil
	}
	if _, still := s.touched(from, d); len(still) > 0 {
		return nil, nil
	}
	return doc, places
}

func (s *State) heldReply(place uint64) *wire.ProposeReply {
	r := &wire.ProposeReply{Code: uint32(ledger.Held), Generation: uint64(s.Book.Generation), Edition: s.Book.EndEdition(), Place: place, Tail: s.Book.Stands()}
	if h := s.Book.ByPlace(place); h != nil {
		if h.Edition > 0 {
			r.Edition = h.Edition
		}
		r.Regions, r.UntilMs = s.waitsFor(h)
	}
	return r
}

func (s *State) waitsFor(h *wire.Held) ([]string, int64) {
	var open []string
	for _, n := range h.Regions {
		if s.Book.Open(n) != nil {
			open = append(open, n)
		}
	}
	if len(open) == 0 {
		open = s.Book.OpenRegions()
	}
	return open, s.until(open)
}

func (s *State) refuse(q desiredAsk, faults ...desired.Fault) {
	r := &wire.ProposeReply{Code: uint32(ledger.Invalid), Generation: uint64(s.Book.Generation), Edition: s.Book.EndEdition(), Tail: s.Book.Stands()}
	for _, f := range faults {
		r.Faults = append(r.Faults, &wire.Fault{Path: f.Path, Text: f.Text})
	}
	s.refuseWith(q, fmt.Sprintf("%s: %d faults, first %s %s", q.set.ChangeId, len(faults), faults[0].Path, faults[0].Text), r)
}

func (s *State) log(q desiredAsk, c *wire.Change, now ident.Moment) {
	if i, ok := s.Agree.Propose(c, now); ok {
		s.waits[i] = q.asker
		s.setIndex, s.turning = i, false
	} else if s.Agree.NoRoom() {
		s.decide(duty.Decision{Decision: "refused change", Note: "no room in the ring: " + q.set.ChangeId})
		s.reply(q.asker, &wire.ProposeReply{Code: uint32(ledger.NoRoom), Generation: uint64(s.Book.Generation), Edition: s.Book.EndEdition(), Tail: s.Book.Stands()})
	}
}

// stillTrial names what forbids that a trial begin or end.
func (s *State) stillTrial(docs ...[]byte) []desired.Fault {
	from := s.Book.State(s.Book.Generation)
	var names []string
	for _, doc := range docs {
		d, faults := desired.Read(doc)
		if len(faults) > 0 {
			names = append(names, s.Book.OpenRegions()...)
			continue
		}
		_, still := s.touched(from, d)
		names = append(names, still...)
	}
	slices.Sort(names)
	if names = slices.Compact(names); len(names) == 0 {
		return nil
	}
	return []desired.Fault{{Path: "", Text: fmt.Sprintf("no trial begins or ends while %s stands still, until %s", strings.Join(names, ", "), stamp(s.until(names)))}}
}

func stamp(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

// place decides what becomes of a sound change while a period runs or anything is held: in force at once, or into the queue.
func (s *State) place(q desiredAsk, whole any, d *desired.State, now ident.Moment) {
	from := s.Book.State(s.Book.Generation)
	end := s.endTree()
	patch := desired.Diff(bare(end), bare(whole))
	h := &wire.Held{ChangeId: q.set.ChangeId, Author: q.set.Author, Patch: desired.Write(patch), Edition: d.Edition}
	if len(s.Book.Held) >= ledger.HeldMost || s.Book.HeldBytes()+len(h.Patch) > ledger.HeldBytesMost {
		s.refuse(q, desired.Fault{Path: "", Text: fmt.Sprintf("%d changes of %d bytes are held; at most %d of %d", len(s.Book.Held), s.Book.HeldBytes(), ledger.HeldMost, ledger.HeldBytesMost)})
		return
	}
	c := &wire.HoldBack{Basis: uint64(s.Book.Generation), Turn: s.Book.Turn, Held: h, Sum: q.set.Sum}
	part := desired.Merge(s.inForceTree(), patch)
	if n, doc, faults := s.sound(part); len(faults) == 0 && s.agrees(patch, whole) {
		_, still := s.touched(from, n)
		trial, kept := s.alongTrial(patch)
		if len(still) == 0 && kept {
			if c.Doc, c.Trial = doc, trial; len(s.Book.Held) == 0 {
				c.Doc = desired.Write(whole)
			}
			s.log(q, &wire.Change{Body: &wire.Change_HoldBack{HoldBack: c}}, now)
			return
		}
	}
	before, _ := desired.Read(desired.Write(end))
	if h.Regions, _ = s.touched(before, d); len(h.Regions) == 0 {
		for _, o := range s.Book.Held {
			h.Regions = append(h.Regions, o.Regions...)
		}
		h.Regions = append(h.Regions, s.Book.OpenRegions()...)
		slices.Sort(h.Regions)
		h.Regions = slices.Compact(h.Regions)
	}
	s.log(q, &wire.Change{Body: &wire.Change_HoldBack{HoldBack: c}}, now)
}

// agrees says whether the queue, replayed over a state in force that has the patch already, still ends at what was asked for.
func (s *State) agrees(patch, whole any) bool {
	t := desired.Merge(s.inForceTree(), patch)
	for _, h := range s.Book.Held {
		t = desired.Merge(t, tree(h.Patch))
	}
	t = desired.Merge(t, patch)
	return reflect.DeepEqual(bare(t), bare(whole))
}

// alongTrial gives the trial's state with the patch, where the trial must stay because its region stands still.
func (s *State) alongTrial(patch any) (doc []byte, ok bool) {
	if s.Book.Trial == nil || len(s.stillTrial(s.Book.Trial.Doc)) == 0 {
		return nil, true
	}
	_, doc, faults := s.sound(desired.Merge(tree(s.Book.Trial.Doc), patch))
	return doc, len(faults) == 0
}

func (s *State) takeOut(q desiredAsk, now ident.Moment) {
	if s.Book.ByPlace(q.set.TakeOut) == nil {
		s.refuse(q, desired.Fault{Path: fmt.Sprintf("/held/%d", q.set.TakeOut), Text: "is not held"})
		return
	}
	t, last := s.inForceTree(), uint64(0)
	for _, h := range s.Book.Held {
		if h.Place != q.set.TakeOut || h.Applied {
			t, last = desired.Merge(t, tree(h.Patch)), h.Edition
		}
	}
	if _, _, faults := s.sound(edited(t, s.Book.EndEdition())); len(faults) > 0 {
		for i := range faults {
			faults[i].Text = "without that change: " + faults[i].Text
		}
		s.refuse(q, faults...)
		return
	}
	c := &wire.TakeOut{Basis: uint64(s.Book.Generation), Turn: s.Book.Turn, Place: q.set.TakeOut, ChangeId: q.set.ChangeId, Sum: q.set.Sum}
	if e := max(s.Book.EndEdition(), s.Book.Floor); last > 0 {
		c.Edition = e + 1
	}
	s.log(q, &wire.Change{Body: &wire.Change_TakeOut{TakeOut: c}}, now)
}

func (s *State) tells(kind string, e *wire.Entry, r ledger.Result, text string) {
	s.decide(duty.Decision{Index: e.Index, Decision: kind, Note: strings.TrimSpace(r.Code.String() + " " + text)})
	if r.Code == ledger.Done || r.Code == ledger.Held {
		s.out = append(s.out, Note{strings.ToUpper(kind[:1]) + kind[1:] + ": " + text + "."})
	}
}

func (s *State) loggedHeld(e *wire.Entry, r ledger.Result) {
	switch c := e.Change.GetBody().(type) {
	case *wire.Change_HoldBack:
		if h := c.HoldBack.Held; r.Code == ledger.Held {
			s.tells("held", e, r, fmt.Sprintf("%s in place %d for %s", h.GetChangeId(), r.Place, strings.Join(h.GetRegions(), " ")))
		} else {
			s.decide(duty.Decision{Index: e.Index, Decision: "desired", Note: r.Code.String() + " " + h.GetChangeId()})
		}
	case *wire.Change_TakeOut:
		s.tells("withdrawn", e, r, fmt.Sprintf("place %d by %s", c.TakeOut.Place, c.TakeOut.ChangeId))
	case *wire.Change_PeriodTurn:
		p := s.Book.Periods[c.PeriodTurn.Region]
		kind := map[uint32]string{ledger.Opened: "period opened", ledger.Doubted: "period opened", ledger.Lengthened: "period lengthened", ledger.Closed: "period closed", ledger.TakenBack: "period taken back"}[c.PeriodTurn.Kind]
		if kind == "" {
			kind = "period turned"
		}
		s.tells(kind, e, r, fmt.Sprintf("%s, its number %d, from %s until %s", c.PeriodTurn.Region, p.GetNumber(), stamp(p.GetFromMs()), stamp(p.GetUntilMs())))
	case *wire.Change_Land:
		s.tells("landed", e, r, fmt.Sprintf("%d changes together as generation %d", len(c.Land.Places), s.Book.Generation))
	}
}

func number(n uint64) json.Number { return json.Number(strconv.FormatUint(n, 10)) }
