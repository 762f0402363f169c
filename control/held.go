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
	"sloeturn/daemon"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

const (
	// ClockInterval is how often the wall clock is read while there is a calendar.
	ClockInterval = 500 * time.Millisecond
	// ClockMaxAge is how old a reading of the wall clock may be.
	ClockMaxAge = 3 * time.Second
	// PeriodCheckInterval is how often the leader checks whether a blackout period opens or closes.
	PeriodCheckInterval = 200 * time.Millisecond
	// MinPeriodLead is the shortest time by which a blackout period opens ahead of its first moment.
	MinPeriodLead = 10 * time.Second
	// MaxClockSkew is how far apart wall clocks may be.
	MaxClockSkew = 5 * time.Minute
	// PeriodEndConfirmation is how long a majority of clocks must be past a period's end before it
	// closes.
	PeriodEndConfirmation = 5 * time.Second
	// MaxPeriodEndGap is the longest time between two checks of a period's end that still count as
	// uninterrupted.
	MaxPeriodEndGap = time.Second
)

type (
	// ClockReading is a reading of the wall clock, and the moment it was taken at.
	ClockReading struct {
		UnixMs int64
		At     ident.Moment
	}
	// WatchClock starts or stops the reading of the wall clock.
	WatchClock struct{ On bool }
)

// observation is from when until when something was observed without a break.
type observation struct{ since, last ident.Moment }

// calendarState is what a process keeps for blackout periods: the wall clock, how long each period's
// end has been observed, and the calendar read from the configuration.
type calendarState struct {
	clock                ClockReading
	watching             bool
	checkedAt            ident.Moment
	clocksMissing        bool
	clocksMissingSince   ident.Moment
	periodChangeProposed bool
	pastEnd              map[string]observation
	// blockedQueueVersion is one more than the ledger's queue version at which none of the held changes
	// can take effect; 0 for none.
	blockedQueueVersion uint64
	parsedCalendar      *calendar.Calendar
	parsedBlackouts     map[string]*desired.Blackout
	cachedGeneration    ident.Generation
	cachedCalendar      *calendar.Calendar
}

// scale is how many times faster than the monotonic clock the calendar's clock runs in trials.
func (c Config) scale() int64 { return max(1, c.ClockScale) }

// periodLead is how long before its first moment a period opens, so that no change made before it is
// still under way when it begins.
func (s *State) periodLead() int64 {
	return max(MinPeriodLead, 2*s.Relay.LeaseDuration, s.Relay.StaleAfter+s.Relay.LeaseDuration).Milliseconds() * s.scale()
}

// withholdsUpdates reports that a period is about to begin while a change made before it is not yet
// committed. Nothing new is published then: nodes would enter the period on the old routes and get the
// new ones during it.
func (s *State) withholdsUpdates(now ident.Moment) bool {
	if !s.watching || uint64(s.Ledger.Index) >= s.lastChangeIndex || s.periodChangeProposed {
		return false
	}
	cal := s.calendarInEffect()
	if cal == nil {
		return false
	}
	clocks, _ := s.Agreement.VoterClocks(now)
	for _, n := range cal.Regions() {
		if s.Ledger.OpenPeriod(n) != nil {
			continue
		}
		for _, ms := range clocks {
			if p, ok := cal.PeriodAt(n, ms+s.periodLead()); ok && p.EndMs > s.Ledger.BlackoutPeriods[n].GetClosedMs() {
				return true
			}
		}
	}
	return false
}

// clockSkew is MaxClockSkew in the calendar's time.
func (s *State) clockSkew() int64 { return MaxClockSkew.Milliseconds() * s.scale() }

// wallClock is the wall clock in Unix milliseconds, or 0 if it is not read or the last reading is too
// old.
func (s *State) wallClock(now ident.Moment) int64 {
	age := now.Sub(s.clock.At)
	if !s.watching || s.clock.UnixMs == 0 || age > ClockMaxAge {
		return 0
	}
	return s.clock.UnixMs + age.Milliseconds()
}

// hasCalendar reports whether there is a calendar, or an open period or held change that an earlier
// calendar left behind.
func (s *State) hasCalendar() bool {
	if len(s.Ledger.HeldChanges) > 0 {
		return true
	}
	for _, p := range s.Ledger.BlackoutPeriods {
		if p.Open {
			return true
		}
	}
	if s.Ledger.Generation == 0 {
		return false
	}
	d := s.Ledger.DesiredState(s.Ledger.Generation)
	return d != nil && len(d.Blackouts) > 0
}

// watchCalendar has the wall clock read while there is a calendar, and advances its periods as leader.
func (s *State) watchCalendar(now ident.Moment) {
	if s.Agreement == nil {
		return
	}
	if wanted := s.hasCalendar(); wanted != s.watching {
		s.watching, s.clock = wanted, ClockReading{}
		s.output = append(s.output, WatchClock{wanted})
	}
	if s.watching && s.Agreement.AcceptsProposals(now) && now.Sub(s.checkedAt) >= PeriodCheckInterval {
		s.checkedAt = now
		s.advancePeriods(now)
	}
}

// calendarOf reads the calendar of a configuration, and keeps the last one that it read.
func (s *State) calendarOf(config *desired.State) (*calendar.Calendar, []desired.Fault) {
	if config == nil || len(config.Blackouts) == 0 {
		return nil, nil
	}
	if s.parsedCalendar != nil && reflect.DeepEqual(s.parsedBlackouts, config.Blackouts) {
		return s.parsedCalendar, nil
	}
	c, faults := calendar.Read(config)
	if len(faults) == 0 {
		s.parsedCalendar, s.parsedBlackouts = c, config.Blackouts
	}
	return c, faults
}

// calendarInEffect is the calendar of the newest generation.
func (s *State) calendarInEffect() *calendar.Calendar {
	if g := s.Ledger.Generation; s.cachedGeneration != g || s.cachedCalendar == nil {
		s.cachedGeneration = g
		s.cachedCalendar, _ = s.calendarOf(s.Ledger.DesiredState(g))
	}
	return s.cachedCalendar
}

// proposePeriodTurn proposes that a region's period opens, changes or closes.
func (s *State) proposePeriodTurn(region string, kind uint32, period calendar.Period, now ident.Moment) {
	index, ok := s.Agreement.Propose(&wire.Change{Body: &wire.Change_PeriodTurn{PeriodTurn: &wire.PeriodTurn{Turn: s.Ledger.QueueVersion, Region: region, Kind: kind, FromMs: period.StartMs, UntilMs: period.EndMs}}}, now)
	if ok {
		s.lastChangeIndex, s.periodChangeProposed = index, true
	}
}

// advancePeriods opens and closes periods and proposes the held changes that no period blocks any more;
// it reports whether a change may be decided on now.
func (s *State) advancePeriods(now ident.Moment) bool {
	if !s.hasCalendar() {
		return true
	}
	if uint64(s.Ledger.Index) < s.lastChangeIndex {
		return false
	}
	clocks, voters := s.Agreement.VoterClocks(now)
	majority := voters/2 + 1
	if len(clocks) < majority {
		s.pastEnd = nil
		if s.clocksMissingSince == 0 {
			s.clocksMissingSince = now
		}
		if !s.clocksMissing && now.Sub(s.clocksMissingSince) > ClockMaxAge {
			s.clocksMissing = true
			s.output = append(s.output, LogNote{"Fewer than a majority of voters report their wall clock; changes wait."})
		}
		return false
	}
	if s.clocksMissingSince = 0; s.clocksMissing {
		s.clocksMissing = false
		s.output = append(s.output, LogNote{"A majority of voters reports its wall clock again."})
	}
	names := s.Ledger.RegionsInBlackout()
	cal := s.calendarInEffect()
	if cal != nil {
		for _, region := range cal.Regions() {
			if !slices.Contains(names, region) {
				names = append(names, region)
			}
		}
	}
	for _, region := range names {
		if s.endConfirmed(region+" behind", s.leaderClockBehind(region, clocks, majority), now) && s.Agreement.TransferLeadership(now) {
			s.pastEnd = nil
			s.output = append(s.output, LogNote{"Transfers leadership: this wall clock is behind a majority's at the end of " + region + "'s period."})
			return false
		}
		kind, period := s.periodTurn(region, cal, clocks, voters)
		if !s.endConfirmed(region, kind == ledger.PeriodClosed, now) && kind == ledger.PeriodClosed {
			continue
		}
		if kind != 0 {
			s.proposePeriodTurn(region, kind, period, now)
			return false
		}
	}
	return !s.proposeLanding(now)
}

// leaderClockBehind reports that the leader's clock alone keeps a period from closing.
func (s *State) leaderClockBehind(name string, clocks []int64, majority int) bool {
	period := s.Ledger.OpenPeriod(name)
	return period != nil && clocks[0] < period.UntilMs && countClocks(clocks, func(ms int64) bool { return ms >= period.UntilMs }) >= majority
}

// endConfirmed reports whether a period's end has been reported without a break for longer than any
// reading is kept, so that no two clocks that jumped one after the other make a majority.
func (s *State) endConfirmed(name string, past bool, now ident.Moment) bool {
	if !past {
		delete(s.pastEnd, name)
		return false
	}
	if s.pastEnd == nil {
		s.pastEnd = map[string]observation{}
	}
	seen, ok := s.pastEnd[name]
	if !ok || now.Sub(seen.last) > MaxPeriodEndGap {
		seen.since = now
	}
	seen.last = now
	s.pastEnd[name] = seen
	return now.Sub(seen.since) >= PeriodEndConfirmation
}

// countClocks counts the clocks for which f holds.
func countClocks(clocks []int64, f func(ms int64) bool) int {
	n := 0
	for _, ms := range clocks {
		if f(ms) {
			n++
		}
	}
	return n
}

// periodTurn is what is to happen to a region's period, by the clocks of the voters, the leader's
// first; 0 for nothing. A period opens when one clock is in it and none is far before it, or in doubt
// when a minority is far before it. It closes when the leader and a majority are past its end, and one
// opened in doubt is canceled when all are far before it.
func (s *State) periodTurn(name string, cal *calendar.Calendar, clocks []int64, voters int) (uint32, calendar.Period) {
	majority, lead, slack := voters/2+1, s.periodLead(), s.clockSkew()
	if p := s.Ledger.OpenPeriod(name); p != nil {
		now := calendar.Period{StartMs: p.FromMs, EndMs: p.UntilMs}
		if cal != nil {
			if q, ok := cal.PeriodAt(name, p.UntilMs); ok {
				return ledger.PeriodExtended, q
			}
		}
		past := func(ms int64) bool { return ms >= p.UntilMs }
		if past(clocks[0]) && countClocks(clocks, past) >= majority {
			return ledger.PeriodClosed, now
		}
		if p.Doubt && countClocks(clocks, func(ms int64) bool { return ms+lead+slack < p.FromMs }) == voters {
			return ledger.PeriodCanceled, now
		}
		return 0, now
	}
	closed := s.Ledger.BlackoutPeriods[name].GetClosedMs()
	for _, ms := range clocks {
		p, ok := cal.PeriodAt(name, ms+lead)
		if !ok || p.EndMs <= closed {
			continue
		}
		switch far := countClocks(clocks, func(ms int64) bool { return ms+lead+slack < p.StartMs }); {
		case far == 0:
			return ledger.PeriodOpened, p
		case far < majority:
			return ledger.PeriodOpenedInDoubt, p
		}
	}
	return 0, calendar.Period{}
}

// parseTree reads a JSON document; none is an empty object.
func parseTree(doc []byte) any {
	if doc == nil {
		return map[string]any{}
	}
	t, _ := desired.ReadTree(doc)
	return t
}

// withoutEdition is a copy of the object without its version number.
func withoutEdition(t any) any {
	m, _ := t.(map[string]any)
	out := map[string]any{}
	for k, v := range m {
		if k != "edition" {
			out[k] = v
		}
	}
	return out
}

// withEdition is a copy of the object with the version number, or with none if it is 0.
func withEdition(t any, edition uint64) any {
	out := withoutEdition(t).(map[string]any)
	if edition > 0 {
		out["edition"] = jsonNumber(edition)
	}
	return out
}

// treeInEffect is the configuration of the newest generation.
func (s *State) treeInEffect() any {
	if line := s.Ledger.HistoryEntry(s.Ledger.Generation); line != nil {
		return parseTree(line.Doc)
	}
	return map[string]any{}
}

// queueEndTree is the configuration with all held changes applied, which the next change is based on.
func (s *State) queueEndTree() any {
	tree := s.treeInEffect()
	for _, held := range s.Ledger.HeldChanges {
		tree = desired.Merge(tree, parseTree(held.Patch))
	}
	return withEdition(tree, s.Ledger.LatestEdition())
}

// validate reads a configuration and its calendar.
func (s *State) validate(t any) (*desired.State, []byte, []desired.Fault) {
	doc := desired.Write(t)
	d, faults := desired.Read(doc)
	if len(faults) == 0 {
		_, faults = s.calendarOf(d)
	}
	return d, doc, faults
}

// withCalendar puts the present calendar into a whole configuration whose writer knows of none.
func (s *State) withCalendar(t any) any {
	if !s.hasCalendar() {
		return t
	}
	config, ok := t.(map[string]any)
	if !ok || config["regions"] != nil || config["blackouts"] != nil {
		return t
	}
	end := s.queueEndTree().(map[string]any)
	patch := map[string]any{}
	for _, k := range []string{"regions", "blackouts"} {
		if v, ok := end[k]; ok {
			patch[k] = v
		}
	}
	former, _ := end["services"].(map[string]any)
	given, _ := config["services"].(map[string]any)
	services := map[string]any{}
	for n, v := range former {
		if o, ok := v.(map[string]any); ok && o["regions"] != nil && given[n] != nil {
			services[n] = map[string]any{"regions": o["regions"]}
		}
	}
	if len(services) > 0 {
		patch["services"] = services
	}
	return desired.Merge(t, patch)
}

// touchedRegions names the regions that a change from a to b touches, and those of them that are in a
// blackout period now.
func (s *State) touchedRegions(a, b *desired.State) (all, frozen []string) {
	all = desired.AffectedRegions(a, b)
	cal, _ := s.calendarOf(b)
	for _, region := range s.Ledger.RegionsInBlackout() {
		period := s.Ledger.OpenPeriod(region)
		keeps := false
		if cal != nil {
			q, ok := cal.PeriodAt(region, period.UntilMs-1)
			keeps = ok && q.StartMs <= period.FromMs
		}
		if !keeps && !slices.Contains(all, region) {
			all = append(all, region)
		}
		if slices.Contains(all, region) {
			frozen = append(frozen, region)
		}
	}
	return all, frozen
}

// frozenUntil is the latest end of the regions' open periods, in Unix milliseconds.
func (s *State) frozenUntil(regions []string) (ms int64) {
	for _, region := range regions {
		ms = max(ms, s.Ledger.OpenPeriod(region).GetUntilMs())
	}
	return ms
}

// proposeLanding proposes one generation that applies (lands) all held changes that no period
// blocks any more.
func (s *State) proposeLanding(now ident.Moment) bool {
	if s.blockedQueueVersion == s.Ledger.QueueVersion+1 || !slices.ContainsFunc(s.Ledger.HeldChanges, s.readyToLand) {
		return false
	}
	var doc []byte
	var places []uint64
	for _, mode := range []int{landByRegion, landOneByOne, landInOrder} {
		if doc, places = s.landableState(mode); len(places) > 0 {
			break
		}
	}
	if len(places) == 0 {
		s.blockedQueueVersion = s.Ledger.QueueVersion + 1
		return false
	}
	index, ok := s.Agreement.Propose(&wire.Change{Body: &wire.Change_Land{Land: &wire.Land{Basis: uint64(s.Ledger.Generation), Turn: s.Ledger.QueueVersion, Doc: doc, Places: places}}}, now)
	if ok {
		s.lastChangeIndex, s.periodChangeProposed = index, false
	}
	return ok
}

// readyToLand reports that a held change is not yet applied and that none of its regions is in a
// blackout period.
func (s *State) readyToLand(h *wire.Held) bool {
	return !h.Applied && !slices.ContainsFunc(h.Regions, func(n string) bool { return s.Ledger.OpenPeriod(n) != nil })
}

// How landableState selects held changes.
const (
	landByRegion = iota
	landOneByOne
	landInOrder
)

// landableState is the configuration with all held changes applied that no period blocks. Applied all
// at once, the configuration between two changes need not be valid; where the result is not, they are
// tried one by one, and at last in order, no later one before an earlier.
func (s *State) landableState(mode int) ([]byte, []uint64) {
	start := s.Ledger.DesiredState(s.Ledger.Generation)
	tree, base := s.treeInEffect(), start
	var places []uint64
	remaining := false
	for _, held := range s.Ledger.HeldChanges {
		next := desired.Merge(tree, parseTree(held.Patch))
		switch {
		case mode == landByRegion && held.Applied:
			tree = next
		case mode == landByRegion && s.readyToLand(held):
			tree, places = next, append(places, held.Place)
		case !held.Applied && (!s.readyToLand(held) || mode == landInOrder && remaining):
			remaining = true
		default:
			config, _, faults := s.validate(next)
			if len(faults) == 0 && !held.Applied {
				_, frozen := s.touchedRegions(base, config)
				remaining = remaining || len(frozen) > 0
				if len(frozen) > 0 {
					continue
				}
				places = append(places, held.Place)
			}
			if len(faults) > 0 {
				remaining = remaining || !held.Applied
				continue
			}
			tree, base = next, config
		}
	}
	if !remaining {
		tree = withEdition(tree, s.Ledger.LatestEdition())
	}
	config, doc, faults := s.validate(tree)
	if len(faults) > 0 {
		return nil, nil
	}
	if _, frozen := s.touchedRegions(start, config); len(frozen) > 0 {
		return nil, nil
	}
	return doc, places
}

// heldReply answers a change that is held in this place of the queue.
func (s *State) heldReply(place uint64) *wire.ProposeReply {
	reply := &wire.ProposeReply{Code: uint32(ledger.Held), Generation: uint64(s.Ledger.Generation), Edition: s.Ledger.LatestEdition(), Place: place, Tail: s.Ledger.BasisTail()}
	if held := s.Ledger.HeldChangeAt(place); held != nil {
		if held.Edition > 0 {
			reply.Edition = held.Edition
		}
		reply.Regions, reply.UntilMs = s.waitsFor(held)
	}
	return reply
}

// waitsFor is the open regions that a held change waits for, and until when.
func (s *State) waitsFor(h *wire.Held) ([]string, int64) {
	var open []string
	for _, n := range h.Regions {
		if s.Ledger.OpenPeriod(n) != nil {
			open = append(open, n)
		}
	}
	if len(open) == 0 {
		open = s.Ledger.RegionsInBlackout()
	}
	return open, s.frozenUntil(open)
}

// refuse refuses a change with its faults.
func (s *State) refuse(request changeRequest, faults ...desired.Fault) {
	reply := &wire.ProposeReply{Code: uint32(ledger.Invalid), Generation: uint64(s.Ledger.Generation), Edition: s.Ledger.LatestEdition(), Tail: s.Ledger.BasisTail()}
	for _, fault := range faults {
		reply.Faults = append(reply.Faults, &wire.Fault{Path: fault.Path, Text: fault.Text})
	}
	s.refuseOnceConfirmed(request, fmt.Sprintf("%s: %d faults, first %s %s", request.set.ChangeId, len(faults), faults[0].Path, faults[0].Text), reply)
}

// proposeChange proposes the change to the replicated log; it is refused if the disk has no room for
// it.
func (s *State) proposeChange(request changeRequest, change *wire.Change, now ident.Moment) {
	if index, ok := s.Agreement.Propose(change, now); ok {
		s.proposers[index] = request.requester
		s.lastChangeIndex, s.periodChangeProposed = index, false
	} else if s.Agreement.RingExhausted() {
		s.recordDecision(daemon.Decision{Decision: "refused change", Note: "no room in the ring: " + request.set.ChangeId})
		s.reply(request.requester, &wire.ProposeReply{Code: uint32(ledger.NoLogSpace), Generation: uint64(s.Ledger.Generation), Edition: s.Ledger.LatestEdition(), Tail: s.Ledger.BasisTail()})
	}
}

// trialFaults names the regions in a blackout period that forbid that a trial begins or ends.
func (s *State) trialFaults(docs ...[]byte) []desired.Fault {
	start := s.Ledger.DesiredState(s.Ledger.Generation)
	var names []string
	for _, doc := range docs {
		config, faults := desired.Read(doc)
		if len(faults) > 0 {
			names = append(names, s.Ledger.RegionsInBlackout()...)
			continue
		}
		_, frozen := s.touchedRegions(start, config)
		names = append(names, frozen...)
	}
	slices.Sort(names)
	if names = slices.Compact(names); len(names) == 0 {
		return nil
	}
	return []desired.Fault{{Path: "", Text: fmt.Sprintf("no trial begins or ends while %s stands still, until %s", strings.Join(names, ", "), formatTime(s.frozenUntil(names)))}}
}

// formatTime writes Unix milliseconds as RFC 3339, in UTC.
func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

// placeChange decides on a valid change while a period is open or anything is held: it is applied at
// once if it touches no region in a period, and queued otherwise.
func (s *State) placeChange(request changeRequest, whole any, config *desired.State, now ident.Moment) {
	start := s.Ledger.DesiredState(s.Ledger.Generation)
	end := s.queueEndTree()
	patch := desired.Diff(withoutEdition(end), withoutEdition(whole))
	held := &wire.Held{ChangeId: request.set.ChangeId, Author: request.set.Author, Patch: desired.Write(patch), Edition: config.Edition}
	if len(s.Ledger.HeldChanges) >= ledger.MaxHeldChanges || s.Ledger.HeldBytes()+len(held.Patch) > ledger.MaxHeldBytes {
		s.refuse(request, desired.Fault{Path: "", Text: fmt.Sprintf("%d changes of %d bytes are held; at most %d of %d", len(s.Ledger.HeldChanges), s.Ledger.HeldBytes(), ledger.MaxHeldChanges, ledger.MaxHeldBytes)})
		return
	}
	holdBack := &wire.HoldBack{Basis: uint64(s.Ledger.Generation), Turn: s.Ledger.QueueVersion, Held: held, Sum: request.set.Sum}
	applied := desired.Merge(s.treeInEffect(), patch)
	if next, doc, faults := s.validate(applied); len(faults) == 0 && s.replayMatches(patch, whole) {
		_, frozen := s.touchedRegions(start, next)
		trial, kept := s.trialWithPatch(patch)
		if len(frozen) == 0 && kept {
			if holdBack.Doc, holdBack.Trial = doc, trial; len(s.Ledger.HeldChanges) == 0 {
				holdBack.Doc = desired.Write(whole)
			}
			s.proposeChange(request, &wire.Change{Body: &wire.Change_HoldBack{HoldBack: holdBack}}, now)
			return
		}
	}
	before, _ := desired.Read(desired.Write(end))
	if held.Regions, _ = s.touchedRegions(before, config); len(held.Regions) == 0 {
		for _, other := range s.Ledger.HeldChanges {
			held.Regions = append(held.Regions, other.Regions...)
		}
		held.Regions = append(held.Regions, s.Ledger.RegionsInBlackout()...)
		slices.Sort(held.Regions)
		held.Regions = slices.Compact(held.Regions)
	}
	s.proposeChange(request, &wire.Change{Body: &wire.Change_HoldBack{HoldBack: holdBack}}, now)
}

// replayMatches reports whether the queue, replayed over a configuration that has the patch already,
// still ends at what was asked for.
func (s *State) replayMatches(patch, whole any) bool {
	tree := desired.Merge(s.treeInEffect(), patch)
	for _, held := range s.Ledger.HeldChanges {
		tree = desired.Merge(tree, parseTree(held.Patch))
	}
	tree = desired.Merge(tree, patch)
	return reflect.DeepEqual(withoutEdition(tree), withoutEdition(whole))
}

// trialWithPatch is the trial's configuration with the patch, if the trial must stay because its region
// is in a blackout period.
func (s *State) trialWithPatch(patch any) (doc []byte, ok bool) {
	if s.Ledger.Trial == nil || len(s.trialFaults(s.Ledger.Trial.Doc)) == 0 {
		return nil, true
	}
	_, doc, faults := s.validate(desired.Merge(parseTree(s.Ledger.Trial.Doc), patch))
	return doc, len(faults) == 0
}

// withdrawHeld takes a held change out of the queue if what remains is valid.
func (s *State) withdrawHeld(request changeRequest, now ident.Moment) {
	if s.Ledger.HeldChangeAt(request.set.TakeOut) == nil {
		s.refuse(request, desired.Fault{Path: fmt.Sprintf("/held/%d", request.set.TakeOut), Text: "is not held"})
		return
	}
	tree, last := s.treeInEffect(), uint64(0)
	for _, held := range s.Ledger.HeldChanges {
		if held.Place != request.set.TakeOut || held.Applied {
			tree, last = desired.Merge(tree, parseTree(held.Patch)), held.Edition
		}
	}
	if _, _, faults := s.validate(withEdition(tree, s.Ledger.LatestEdition())); len(faults) > 0 {
		for i := range faults {
			faults[i].Text = "without that change: " + faults[i].Text
		}
		s.refuse(request, faults...)
		return
	}
	takeOut := &wire.TakeOut{Basis: uint64(s.Ledger.Generation), Turn: s.Ledger.QueueVersion, Place: request.set.TakeOut, ChangeId: request.set.ChangeId, Sum: request.set.Sum}
	if edition := max(s.Ledger.LatestEdition(), s.Ledger.HighestHeldEdition); last > 0 {
		takeOut.Edition = edition + 1
	}
	s.proposeChange(request, &wire.Change{Body: &wire.Change_TakeOut{TakeOut: takeOut}}, now)
}

// recordAndLog records the decision and logs it if the entry took effect.
func (s *State) recordAndLog(kind string, entry *wire.Entry, result ledger.Result, text string) {
	s.recordDecision(daemon.Decision{Index: entry.Index, Decision: kind, Note: strings.TrimSpace(result.Code.String() + " " + text)})
	if result.Code == ledger.Done || result.Code == ledger.Held {
		s.output = append(s.output, LogNote{strings.ToUpper(kind[:1]) + kind[1:] + ": " + text + "."})
	}
}

// recordHeldEntry records the entries for held changes and periods.
func (s *State) recordHeldEntry(entry *wire.Entry, result ledger.Result) {
	switch c := entry.Change.GetBody().(type) {
	case *wire.Change_HoldBack:
		if held := c.HoldBack.Held; result.Code == ledger.Held {
			s.recordAndLog("held", entry, result, fmt.Sprintf("%s in place %d for %s", held.GetChangeId(), result.QueuePosition, strings.Join(held.GetRegions(), " ")))
		} else {
			s.recordDecision(daemon.Decision{Index: entry.Index, Decision: "desired", Note: result.Code.String() + " " + held.GetChangeId()})
		}
	case *wire.Change_TakeOut:
		s.recordAndLog("withdrawn", entry, result, fmt.Sprintf("place %d by %s", c.TakeOut.Place, c.TakeOut.ChangeId))
	case *wire.Change_PeriodTurn:
		period := s.Ledger.BlackoutPeriods[c.PeriodTurn.Region]
		kind := map[uint32]string{ledger.PeriodOpened: "period opened", ledger.PeriodOpenedInDoubt: "period opened", ledger.PeriodExtended: "period lengthened", ledger.PeriodClosed: "period closed", ledger.PeriodCanceled: "period taken back"}[c.PeriodTurn.Kind]
		if kind == "" {
			kind = "period turned"
		}
		s.recordAndLog(kind, entry, result, fmt.Sprintf("%s, its number %d, from %s until %s", c.PeriodTurn.Region, period.GetNumber(), formatTime(period.GetFromMs()), formatTime(period.GetUntilMs())))
	case *wire.Change_Land:
		s.recordAndLog("landed", entry, result, fmt.Sprintf("%d changes together as generation %d", len(c.Land.Places), s.Ledger.Generation))
	}
}

// jsonNumber writes an integer as a JSON number.
func jsonNumber(n uint64) json.Number { return json.Number(strconv.FormatUint(n, 10)) }
