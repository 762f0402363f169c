// Package calendar turns the days, recurrence rules and iCalendar files of the desired state into the
// blackout periods of regions.
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
	// MaxPeriodDays is the greatest length of a period, in days.
	MaxPeriodDays = 62
	// maxDates bounds the dates that one rule or event may give.
	maxDates = 40000
	// dateFormat is the form of a date in an iCalendar text.
	dateFormat = "20060102"
)

// Period is a time in which a region's routing may not change, in Unix milliseconds. EndMs is not part
// of it.
type Period struct {
	StartMs int64
	EndMs   int64
}

// source is an entry of the desired state, its path there, its text and the dates that it gives.
type source struct {
	path  string
	text  string
	dates []time.Time
}

// region holds the calendar of a region. Its periods are in order and do not touch.
type region struct {
	zone    *time.Location
	sources []source
	periods []Period
}

// Calendar holds the blackout periods of all regions.
type Calendar struct {
	regions map[string]*region
}

// checker collects the faults that are found while a calendar is built.
type checker struct {
	faults []desired.Fault
	noDays bool // a rule gave no day; later rules aren't expanded, since finding that out is slow
}

func (c *checker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, desired.Fault{Path: path, Text: fmt.Sprintf(format, args...)})
}

// Read builds the calendar of a desired state and reports the faults in it.
func Read(state *desired.State) (*Calendar, []desired.Fault) {
	check := &checker{}
	calendar := &Calendar{regions: map[string]*region{}}
	for _, name := range state.BlackoutNames() {
		calendar.regions[name] = check.region(state.Blackouts[name], "/blackouts/"+name)
	}
	return calendar, check.faults
}

// region builds the calendar of one region; path is that of its blackout in the desired state.
func (c *checker) region(blackout *desired.Blackout, path string) *region {
	r := &region{zone: time.UTC}
	if zone, err := time.LoadLocation(blackout.Zone); err != nil || blackout.Zone == "Local" {
		c.addFault(path+"/zone", "is no IANA time zone; is %q", blackout.Zone)
	} else {
		r.zone = zone
	}
	for i, day := range blackout.Days {
		if date, err := time.Parse(desired.DayFormat, day); err == nil {
			r.sources = append(r.sources, source{fmt.Sprintf("%s/days/%d", path, i), day, []time.Time{date}})
		}
	}
	for i, text := range blackout.Rules {
		rulePath := fmt.Sprintf("%s/rules/%d", path, i)
		r.sources = append(r.sources, source{rulePath, text, c.rule(rulePath, text, time.Time{})})
	}
	if blackout.ICS != "" {
		r.sources = append(r.sources, source{path + "/ics", blackout.ICS, c.file(path+"/ics", blackout.ICS)})
	}
	for i, listed := range r.sources[:min(len(blackout.Days), len(r.sources))] {
		for _, other := range r.sources[len(blackout.Days):] {
			if slices.Contains(other.dates, listed.dates[0]) {
				c.addFault(listed.path, "%s is given by %s as well", blackout.Days[i], strings.TrimPrefix(other.path, path+"/"))
			}
		}
	}
	r.buildPeriods(c, path)
	return r
}

// buildPeriods joins consecutive dates to periods, from midnight to midnight in the region's time zone.
func (r *region) buildPeriods(c *checker, path string) {
	var dates []time.Time
	for _, source := range r.sources {
		dates = append(dates, source.dates...)
	}
	sort.Slice(dates, func(i, j int) bool { return dates[i].Before(dates[j]) })
	dates = slices.Compact(dates)
	for i := 0; i < len(dates); {
		next := i + 1
		for next < len(dates) && dates[next].Equal(dates[next-1].AddDate(0, 0, 1)) {
			next++
		}
		if next-i > MaxPeriodDays {
			c.addFault(path, "has a period without end: from %s on every day, more than %d of them", dates[i].Format(desired.DayFormat), MaxPeriodDays)
			return
		}
		if period := (Period{r.midnight(dates[i]), r.midnight(dates[next-1].AddDate(0, 0, 1))}); period.StartMs < period.EndMs {
			r.periods = append(r.periods, period)
		}
		i = next
	}
}

// midnight returns the start of a date in the region's time zone, in Unix milliseconds.
func (r *region) midnight(date time.Time) int64 {
	return time.Date(date.Year(), date.Month(), date.Day(), 0, 0, 0, 0, r.zone).UnixMilli()
}

// supportedParts are the parts that a recurrence rule may have.
var supportedParts = []string{"FREQ", "DTSTART", "INTERVAL", "COUNT", "UNTIL", "BYMONTH", "BYMONTHDAY", "BYDAY", "BYEASTER", "WKST"}

// rule returns the dates of a recurrence rule. The rule of an event counts from start; without one it names
// its own DTSTART.
func (c *checker) rule(path, text string, start time.Time) []time.Time {
	if len(text) > 1024 || strings.ContainsAny(text, "\r\n") {
		c.addFault(path, "must be one line of at most 1024 bytes")
		return nil
	}
	given := map[string]bool{}
	for _, part := range strings.Split(strings.TrimPrefix(text, "RRULE:"), ";") {
		key, _, _ := strings.Cut(part, "=")
		if given[key] {
			c.addFault(path, "names %s twice", key)
			return nil
		}
		if given[key] = true; !slices.Contains(supportedParts, key) {
			c.addFault(path, "%q is not read here; of a rule's parts only %s", key, strings.Join(supportedParts, ", "))
			return nil
		}
	}
	options, err := rrule.StrToROptionInLocation(text, time.UTC)
	if err != nil {
		c.addFault(path, "is no recurrence rule: %v", err)
		return nil
	}
	if !start.IsZero() {
		options.Dtstart = start
	}
	hasBy := len(options.Bymonth)+len(options.Bymonthday)+len(options.Byweekday) > 0
	hasNth := slices.ContainsFunc(options.Byweekday, func(d rrule.Weekday) bool { return d.N() != 0 })
	earliest, _ := time.Parse(desired.DayFormat, desired.MinDay)
	latest, _ := time.Parse(desired.DayFormat, desired.MaxDay)
	fault := ""
	switch {
	case given["DTSTART"] && !start.IsZero():
		fault = "has a DTSTART of its own"
	case options.Dtstart.IsZero():
		fault = "names no DTSTART, the day from which it counts"
	case !options.Dtstart.Equal(midnightUTC(options.Dtstart)) || !options.Until.IsZero() && given["UNTIL"] && !options.Until.Equal(midnightUTC(options.Until)):
		fault = "must give DTSTART and UNTIL as dates, as 20261225"
	case options.Dtstart.Before(earliest) || options.Dtstart.After(latest):
		fault = fmt.Sprintf("must start from %s to %s", desired.MinDay, desired.MaxDay)
	case given["UNTIL"] && options.Until.Before(options.Dtstart):
		fault = "ends before it starts"
	case options.Freq > rrule.DAILY:
		fault = "must give whole days: FREQ is YEARLY, MONTHLY, WEEKLY or DAILY"
	case given["INTERVAL"] && (options.Interval < 1 || options.Interval > 1000), given["COUNT"] && (options.Count < 1 || options.Count > 10000):
		fault = "must have an INTERVAL from 1 to 1000 and a COUNT from 1 to 10000"
	case options.Freq == rrule.DAILY && hasBy, options.Freq == rrule.WEEKLY && (len(options.Bymonthday) > 0 || hasNth), given["BYEASTER"] && (hasBy || options.Freq != rrule.YEARLY):
		fault = "mixes parts that are not read together"
	case options.Freq != rrule.WEEKLY && (options.Freq == rrule.MONTHLY || len(options.Bymonth) > 0) && slices.ContainsFunc(options.Byweekday, func(d rrule.Weekday) bool { return d.N() > 5 || d.N() < -5 }):
		fault = "asks for more than the fifth of a weekday in a month"
	case given["BYEASTER"] && (len(options.Byeaster) != 1 || options.Byeaster[0] < -100 || options.Byeaster[0] > 200):
		fault = "must have one BYEASTER from -100 to 200"
	case options.Freq == rrule.DAILY && options.Interval <= 1 && !given["COUNT"] && !given["UNTIL"]:
		fault = "gives a period without end"
	}
	if fault != "" {
		c.addFault(path, "%s", fault)
		return nil
	}
	if c.noDays {
		return nil
	}
	rule, err := rrule.NewRRule(*options)
	if err != nil {
		c.addFault(path, "is no recurrence rule: %v", err)
		return nil
	}
	var dates []time.Time
	next := rule.Iterator()
	for t, ok := next(); ok && !t.After(latest); t, ok = next() {
		if dates = append(dates, midnightUTC(t)); len(dates) > maxDates {
			c.addFault(path, "gives more than %d days", maxDates)
			return nil
		}
	}
	if len(dates) == 0 {
		c.noDays = true
		c.addFault(path, "gives no day")
	}
	return dates
}

// midnightUTC returns the date of a time, as midnight in UTC.
func midnightUTC(t time.Time) time.Time {
	return time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC)
}

// file returns the dates of the events in an iCalendar text, without the canceled ones.
func (c *checker) file(path, text string) []time.Time {
	parsed, err := parseICS(text)
	if err != nil {
		c.addFault(path, "is no iCalendar text: %v", err)
		return nil
	}
	var dates []time.Time
	uids := map[string]bool{}
	for i, event := range parsed.Events() {
		eventPath := fmt.Sprintf("%s/event/%d", path, i)
		if i >= desired.MaxDays {
			c.addFault(eventPath, "is one too many; at most %d", desired.MaxDays)
			break
		}
		if property := event.GetProperty(ics.ComponentPropertyStatus); property != nil && property.Value == "CANCELLED" {
			continue
		}
		if p := event.GetProperty(ics.ComponentPropertyUniqueId); p == nil || p.Value == "" {
			c.addFault(eventPath, "has no UID")
		} else if uids[p.Value] {
			c.addFault(eventPath, "has the UID of another, %q", p.Value)
		} else {
			uids[p.Value] = true
		}
		dates = append(dates, c.event(eventPath, event)...)
	}
	if len(parsed.Events()) == 0 {
		c.addFault(path, "holds no event")
	}
	return dates
}

// parseICS parses an iCalendar text and turns a panic of the parser into an error.
func parseICS(text string) (calendar *ics.Calendar, err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			calendar, err = nil, fmt.Errorf("%v", panicked)
		}
	}()
	return ics.ParseCalendar(strings.NewReader(text))
}

// event returns the dates of an event with its recurrences.
func (c *checker) event(path string, event *ics.VEvent) []time.Time {
	faults := len(c.faults)
	for _, name := range []ics.ComponentProperty{ics.ComponentPropertyDuration, ics.ComponentPropertyRdate, ics.ComponentPropertyExrule, ics.ComponentPropertyRecurrenceId} {
		if event.HasProperty(name) {
			c.addFault(path, "%s is not read here", name)
		}
	}
	date := func(k ics.ComponentProperty) (time.Time, bool) {
		list := event.GetProperties(k)
		if len(list) == 0 {
			return time.Time{}, false
		}
		t, err := time.Parse(dateFormat, list[0].Value)
		if err != nil || len(list) > 1 {
			c.addFault(path, "%s must be one date, as 20261225; is %q", k, list[0].Value)
		}
		return t, true
	}
	from, ok := date(ics.ComponentPropertyDtStart)
	if !ok {
		c.addFault(path, "has no DTSTART")
	}
	until, ok := date(ics.ComponentPropertyDtEnd)
	if !ok {
		until = from.AddDate(0, 0, 1)
	}
	if len(c.faults) > faults {
		return nil
	}
	days := int(until.Sub(from).Hours() / 24)
	earliest, _ := time.Parse(desired.DayFormat, desired.MinDay)
	latest, _ := time.Parse(desired.DayFormat, desired.MaxDay)
	switch {
	case days < 1:
		c.addFault(path, "ends on %s, no later than it starts", until.Format(desired.DayFormat))
	case days > MaxPeriodDays:
		c.addFault(path, "is %d days long; at most %d", days, MaxPeriodDays)
	case from.Before(earliest) || from.After(latest):
		c.addFault(path, "must start from %s to %s", desired.MinDay, desired.MaxDay)
	}
	starts := []time.Time{from}
	rules := event.GetProperties(ics.ComponentPropertyRrule)
	if len(rules) > 1 {
		c.addFault(path, "has %d RRULEs; at most one", len(rules))
	}
	if len(c.faults) > faults {
		return nil
	}
	if len(rules) == 1 {
		if starts = c.rule(path, rules[0].Value, from); !slices.Contains(starts, from) && len(starts) > 0 {
			starts = append(starts, from)
		}
	}
	for _, property := range event.GetProperties(ics.ComponentPropertyExdate) {
		for _, value := range strings.Split(property.Value, ",") {
			t, err := time.Parse(dateFormat, value)
			if err != nil {
				c.addFault(path, "EXDATE must be dates, as 20261225; is %q", value)
			}
			starts = slices.DeleteFunc(starts, func(s time.Time) bool { return s.Equal(t) })
		}
	}
	if len(starts)*days > maxDates {
		c.addFault(path, "gives more than %d days", maxDates)
		return nil
	}
	var dates []time.Time
	for _, s := range starts {
		for i := range days {
			dates = append(dates, s.AddDate(0, 0, i))
		}
	}
	return dates
}

// Regions returns the names of the regions that have a calendar, sorted.
func (c *Calendar) Regions() []string {
	names := make([]string, 0, len(c.regions))
	for name := range c.regions {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// NextPeriod returns the first period of a region that ends after nowMs. It may have begun.
func (c *Calendar) NextPeriod(name string, nowMs int64) (Period, bool) {
	region := c.regions[name]
	if region == nil {
		return Period{}, false
	}
	i := sort.Search(len(region.periods), func(i int) bool { return region.periods[i].EndMs > nowMs })
	if i == len(region.periods) {
		return Period{}, false
	}
	return region.periods[i], true
}

// PeriodAt returns the period of a region that contains nowMs.
func (c *Calendar) PeriodAt(name string, nowMs int64) (Period, bool) {
	period, ok := c.NextPeriod(name, nowMs)
	return period, ok && period.StartMs <= nowMs
}

// CheckPast reports the entries that the previous calendar lacks and that lie wholly in the past.
func (c *Calendar) CheckPast(previous *Calendar, nowMs int64) []desired.Fault {
	check := &checker{}
	for _, name := range c.Regions() {
		current := c.regions[name]
		oldRegion := &region{}
		if previous != nil && previous.regions[name] != nil {
			oldRegion = previous.regions[name]
		}
		for _, entry := range current.sources {
			isKnown := slices.ContainsFunc(oldRegion.sources, func(known source) bool { return known.text == entry.text })
			endMs := int64(0)
			for _, date := range entry.dates {
				endMs = max(endMs, current.midnight(date.AddDate(0, 0, 1)))
			}
			if !isKnown && endMs <= nowMs {
				check.addFault(entry.path, "is past: its last day ended before %s", time.UnixMilli(nowMs).In(current.zone).Format("2006-01-02 15:04"))
			}
		}
	}
	return check.faults
}

// Location returns the time zone of a region, or UTC.
func (c *Calendar) Location(name string) *time.Location {
	if region := c.regions[name]; region != nil {
		return region.zone
	}
	return time.UTC
}
