// Package calendar reads the blackout days of regions from iCalendar files.
package calendar

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
	_ "time/tzdata"

	ics "github.com/arran4/golang-ical"
	"github.com/teambition/rrule-go"

	"sloeturn/desired"
)

const (
	PeriodMost = 62
	datesMost  = 40000
	dateForm   = "20060102"
)

type Period struct {
	From  int64
	Until int64
}

type source struct {
	path  string
	text  string
	dates []time.Time
}

type region struct {
	zone    *time.Location
	sources []source
	periods []Period
}

type Calendar struct {
	regions map[string]*region
}

type check struct {
	faults []desired.Fault
	barren bool
}

func (c *check) say(path, form string, args ...any) {
	c.faults = append(c.faults, desired.Fault{Path: path, Text: fmt.Sprintf(form, args...)})
}

func Read(s *desired.State) (*Calendar, []desired.Fault) {
	c := &check{}
	out := &Calendar{regions: map[string]*region{}}
	for _, n := range s.BlackoutNames() {
		out.regions[n] = c.region(s.Blackouts[n], "/blackouts/"+n)
	}
	return out, c.faults
}

func (c *check) region(b *desired.Blackout, path string) *region {
	r := &region{zone: time.UTC}
	if z, err := time.LoadLocation(b.Zone); err != nil || b.Zone == "Local" {
		c.say(path+"/zone", "is no IANA time zone; is %q", b.Zone)
	} else {
		r.zone = z
	}
	for i, d := range b.Days {
		if t, err := time.Parse(desired.DayForm, d); err == nil {
			r.sources = append(r.sources, source{fmt.Sprintf("%s/days/%d", path, i), d, []time.Time{t}})
		}
	}
	for i, text := range b.Rules {
		at := fmt.Sprintf("%s/rules/%d", path, i)
		r.sources = append(r.sources, source{at, text, c.rule(at, text, time.Time{})})
	}
	if b.Ics != "" {
		r.sources = append(r.sources, source{path + "/ics", b.Ics, c.file(path+"/ics", b.Ics)})
	}
	for i, one := range r.sources[:min(len(b.Days), len(r.sources))] {
		for _, two := range r.sources[len(b.Days):] {
			if slices.Contains(two.dates, one.dates[0]) {
				c.say(one.path, "%s is given by %s as well", b.Days[i], strings.TrimPrefix(two.path, path+"/"))
			}
		}
	}
	r.join(c, path)
	return r
}

func (r *region) join(c *check, path string) {
	var all []time.Time
	for _, s := range r.sources {
		all = append(all, s.dates...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Before(all[j]) })
	all = slices.Compact(all)
	for i := 0; i < len(all); {
		k := i + 1
		for k < len(all) && all[k].Equal(all[k-1].AddDate(0, 0, 1)) {
			k++
		}
		if k-i > PeriodMost {
			c.say(path, "has a period without end: from %s on every day, more than %d of them", all[i].Format(desired.DayForm), PeriodMost)
			return
		}
		if p := (Period{r.midnight(all[i]), r.midnight(all[k-1].AddDate(0, 0, 1))}); p.From < p.Until {
			r.periods = append(r.periods, p)
		}
		i = k
	}
}

func (r *region) midnight(t time.Time) int64 {
	return time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, r.zone).UnixMilli()
}

var parts = []string{"FREQ", "DTSTART", "INTERVAL", "COUNT", "UNTIL", "BYMONTH", "BYMONTHDAY", "BYDAY", "BYEASTER", "WKST"}

func (c *check) rule(path, text string, start time.Time) []time.Time {
	if len(text) > 1024 || strings.ContainsAny(text, "\r\n") {
		c.say(path, "must be one line of at most 1024 bytes")
		return nil
	}
	given := map[string]bool{}
	for _, p := range strings.Split(strings.TrimPrefix(text, "RRULE:"), ";") {
		k, _, _ := strings.Cut(p, "=")
		if given[k] {
			c.say(path, "names %s twice", k)
			return nil
		}
		if given[k] = true; !slices.Contains(parts, k) {
			c.say(path, "%q is not read here; of a rule's parts only %s", k, strings.Join(parts, ", "))
			return nil
		}
	}
	o, err := rrule.StrToROptionInLocation(text, time.UTC)
	if err != nil {
		c.say(path, "is no recurrence rule: %v", err)
		return nil
	}
	if !start.IsZero() {
		o.Dtstart = start
	}
	by := len(o.Bymonth)+len(o.Bymonthday)+len(o.Byweekday) > 0
	nth := slices.ContainsFunc(o.Byweekday, func(d rrule.Weekday) bool { return d.N() != 0 })
	least, _ := time.Parse(desired.DayForm, desired.DayLeast)
	most, _ := time.Parse(desired.DayForm, desired.DayMost)
	fault := ""
	switch {
	case given["DTSTART"] && !start.IsZero():
		fault = "has a DTSTART of its own"
	case o.Dtstart.IsZero():
		fault = "names no DTSTART, the day from which it counts"
	case !o.Dtstart.Equal(day(o.Dtstart)) || !o.Until.IsZero() && given["UNTIL"] && !o.Until.Equal(day(o.Until)):
		fault = "must give DTSTART and UNTIL as dates, as 20261225"
	case o.Dtstart.Before(least) || o.Dtstart.After(most):
		fault = fmt.Sprintf("must start from %s to %s", desired.DayLeast, desired.DayMost)
	case given["UNTIL"] && o.Until.Before(o.Dtstart):
		fault = "ends before it starts"
	case o.Freq > rrule.DAILY:
		fault = "must give whole days: FREQ is YEARLY, MONTHLY, WEEKLY or DAILY"
	case given["INTERVAL"] && (o.Interval < 1 || o.Interval > 1000), given["COUNT"] && (o.Count < 1 || o.Count > 10000):
		fault = "must have an INTERVAL from 1 to 1000 and a COUNT from 1 to 10000"
	case o.Freq == rrule.DAILY && by, o.Freq == rrule.WEEKLY && (len(o.Bymonthday) > 0 || nth), given["BYEASTER"] && (by || o.Freq != rrule.YEARLY):
		fault = "mixes parts that are not read together"
	case o.Freq != rrule.WEEKLY && (o.Freq == rrule.MONTHLY || len(o.Bymonth) > 0) && slices.ContainsFunc(o.Byweekday, func(d rrule.Weekday) bool { return d.N() > 5 || d.N() < -5 }):
		fault = "asks for more than the fifth of a weekday in a month"
	case given["BYEASTER"] && (len(o.Byeaster) != 1 || o.Byeaster[0] < -100 || o.Byeaster[0] > 200):
		fault = "must have one BYEASTER from -100 to 200"
	case o.Freq == rrule.DAILY && o.Interval <= 1 && !given["COUNT"] && !given["UNTIL"]:
		fault = "gives a period without end"
	}
	if fault != "" {
		c.say(path, "%s", fault)
		return nil
	}
	if c.barren {
		return nil
	}
	r, err := rrule.NewRRule(*o)
	if err != nil {
		c.say(path, "is no recurrence rule: %v", err)
		return nil
	}
	var out []time.Time
	next := r.Iterator()
	for t, ok := next(); ok && !t.After(most); t, ok = next() {
		if out = append(out, day(t)); len(out) > datesMost {
			c.say(path, "gives more than %d days", datesMost)
			return nil
		}
	}
	if len(out) == 0 {
		c.barren = true
		c.say(path, "gives no day")
	}
	return out
}

func day(t time.Time) time.Time {
	return time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC)
}

func (c *check) file(path, text string) []time.Time {
	cal, err := parse(text)
	if err != nil {
		c.say(path, "is no iCalendar text: %v", err)
		return nil
	}
	var out []time.Time
	uids := map[string]bool{}
	for i, e := range cal.Events() {
		at := fmt.Sprintf("%s/event/%d", path, i)
		if i >= desired.DaysMost {
			c.say(at, "is one too many; at most %d", desired.DaysMost)
			break
		}
		if p := e.GetProperty(ics.ComponentPropertyStatus); p != nil && p.Value == "CANCELLED" {
			continue
		}
		if p := e.GetProperty(ics.ComponentPropertyUniqueId); p == nil || p.Value == "" {
			c.say(at, "has no UID")
		} else if uids[p.Value] {
			c.say(at, "has the UID of another, %q", p.Value)
		} else {
			uids[p.Value] = true
		}
		out = append(out, c.event(at, e)...)
	}
	if len(cal.Events()) == 0 {
		c.say(path, "holds no event")
	}
	return out
}

func parse(text string) (cal *ics.Calendar, err error) {
	defer func() {
		if v := recover(); v != nil {
			cal, err = nil, fmt.Errorf("%v", v)
		}
	}()
	return ics.ParseCalendar(strings.NewReader(text))
}

func (c *check) event(path string, e *ics.VEvent) []time.Time {
	faults := len(c.faults)
	for _, k := range []ics.ComponentProperty{ics.ComponentPropertyDuration, ics.ComponentPropertyRdate, ics.ComponentPropertyExrule, ics.ComponentPropertyRecurrenceId} {
		if e.HasProperty(k) {
			c.say(path, "%s is not read here", k)
		}
	}
	date := func(k ics.ComponentProperty) (time.Time, bool) {
		list := e.GetProperties(k)
		if len(list) == 0 {
			return time.Time{}, false
		}
		t, err := time.Parse(dateForm, list[0].Value)
		if err != nil || len(list) > 1 {
			c.say(path, "%s must be one date, as 20261225; is %q", k, list[0].Value)
		}
		return t, true
	}
	from, ok := date(ics.ComponentPropertyDtStart)
	if !ok {
		c.say(path, "has no DTSTART")
	}
	until, ok := date(ics.ComponentPropertyDtEnd)
	if !ok {
		until = from.AddDate(0, 0, 1)
	}
	if len(c.faults) > faults {
		return nil
	}
	long := int(until.Sub(from).Hours() / 24)
	least, _ := time.Parse(desired.DayForm, desired.DayLeast)
	most, _ := time.Parse(desired.DayForm, desired.DayMost)
	switch {
	case long < 1:
		c.say(path, "ends on %s, no later than it starts", until.Format(desired.DayForm))
	case long > PeriodMost:
		c.say(path, "is %d days long; at most %d", long, PeriodMost)
	case from.Before(least) || from.After(most):
		c.say(path, "must start from %s to %s", desired.DayLeast, desired.DayMost)
	}
	starts := []time.Time{from}
	rules := e.GetProperties(ics.ComponentPropertyRrule)
	if len(rules) > 1 {
		c.say(path, "has %d RRULEs; at most one", len(rules))
	}
	if len(c.faults) > faults {
		return nil
	}
	if len(rules) == 1 {
		if starts = c.rule(path, rules[0].Value, from); !slices.Contains(starts, from) && len(starts) > 0 {
			starts = append(starts, from)
		}
	}
	for _, p := range e.GetProperties(ics.ComponentPropertyExdate) {
		for _, v := range strings.Split(p.Value, ",") {
			t, err := time.Parse(dateForm, v)
			if err != nil {
				c.say(path, "EXDATE must be dates, as 20261225; is %q", v)
			}
			starts = slices.DeleteFunc(starts, func(s time.Time) bool { return s.Equal(t) })
		}
	}
	if len(starts)*long > datesMost {
		c.say(path, "gives more than %d days", datesMost)
		return nil
	}
	var out []time.Time
	for _, s := range starts {
		for i := range long {
			out = append(out, s.AddDate(0, 0, i))
		}
	}
	return out
}

func (c *Calendar) Regions() []string {
	out := make([]string, 0, len(c.regions))
	for n := range c.regions {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Next gives the first period that ends after the moment, running or to come.
func (c *Calendar) Next(name string, ms int64) (Period, bool) {
	r := c.regions[name]
	if r == nil {
		return Period{}, false
	}
	i := sort.Search(len(r.periods), func(i int) bool { return r.periods[i].Until > ms })
	if i == len(r.periods) {
		return Period{}, false
	}
	return r.periods[i], true
}

func (c *Calendar) At(name string, ms int64) (Period, bool) {
	p, ok := c.Next(name, ms)
	return p, ok && p.From <= ms
}

// Past names what is new against the calendar before and lies in the past wholly.
func (c *Calendar) Past(before *Calendar, now int64) []desired.Fault {
	k := &check{}
	for _, n := range c.Regions() {
		r := c.regions[n]
		old := &region{}
		if before != nil && before.regions[n] != nil {
			old = before.regions[n]
		}
		for _, s := range r.sources {
			known := slices.ContainsFunc(old.sources, func(o source) bool { return o.text == s.text })
			last := int64(0)
			for _, d := range s.dates {
				last = max(last, r.midnight(d.AddDate(0, 0, 1)))
			}
			if !known && last <= now {
				k.say(s.path, "is past: its last day ended before %s", time.UnixMilli(now).In(r.zone).Format("2006-01-02 15:04"))
			}
		}
	}
	return k.faults
}

func (c *Calendar) Zone(name string) *time.Location {
	if r := c.regions[name]; r != nil {
		return r.zone
	}
	return time.UTC
}
