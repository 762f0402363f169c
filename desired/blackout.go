package desired

import (
	"fmt"
	"reflect"
	"slices"
	"sort"
	"time"

	"sloeturn/ident"
)

const (
	MaxRegions  = 16
	MaxRules    = 16
	MaxDays     = 1024
	MaxICSBytes = 64 << 10 // bytes
	DayFormat   = "2006-01-02"
	MinDay      = "2000-01-01"
	MaxDay      = "2059-12-31"
)

// Region is a set of cells that share a calendar of blackout periods.
type Region struct {
	Name  string
	Cells []ident.Cell
}

// Blackout is the calendar of a region: the days on which changes to its routing are withheld (a change
// freeze). The days are listed, given by recurrence rules, or read from an iCalendar file (ICS).
type Blackout struct {
	Region string
	Zone   string
	Days   []string
	Rules  []string
	ICS    string
}

// textList returns the list of distinct, non-empty texts at key. A faulty entry keeps its place in the
// list.
func (o *object) textList(key string, maximum int) []string {
	value, ok := o.lookup(key)
	if !ok {
		return nil
	}
	at := o.path + "/" + key
	list, ok := value.([]any)
	if !ok {
		o.addFault(at, "must be a list")
		return nil
	}
	if len(list) > maximum {
		o.addFault(at, "has %d entries; at most %d", len(list), maximum)
		return nil
	}
	texts := []string{}
	for i, entry := range list {
		text, ok := entry.(string)
		if !ok || text == "" {
			o.addFault(fmt.Sprintf("%s/%d", at, i), "must be a text that is not empty")
		} else if slices.Contains(texts, text) {
			o.addFault(fmt.Sprintf("%s/%d", at, i), "names %s twice", text)
		}
		texts = append(texts, text)
	}
	if len(list) == 0 {
		o.addFault(at, "is empty")
	}
	return texts
}

func (c *checker) region(name, path string, value any, state *State, regionOfCell map[ident.Cell]string) *Region {
	o := c.object(path, value)
	region := &Region{Name: name}
	for i, cellName := range o.textList("cells", 1024) {
		at := fmt.Sprintf("%s/cells/%d", path, i)
		if cellName == "" {
			continue
		}
		if !ValidName(cellName) {
			c.addFault(at, "%s", nameRule)
		}
		cell := ident.Cell(cellName)
		if other, ok := regionOfCell[cell]; ok && other != name {
			c.addFault(at, "names cell %s, which region %s holds", cellName, other)
		}
		regionOfCell[cell] = name
		region.Cells = append(region.Cells, cell)
	}
	o.rejectUnknown()
	return region
}

func (c *checker) blackout(name, path string, value any, state *State) *Blackout {
	o := c.object(path, value)
	blackout := &Blackout{Region: name, Zone: o.text("zone", "", true)}
	if state.Regions[name] == nil {
		c.addFault(path, "names a region that regions does not hold")
	}
	blackout.Days, blackout.Rules = o.textList("days", MaxDays), o.textList("rules", MaxRules)
	for i, day := range blackout.Days {
		date, err := time.Parse(DayFormat, day)
		if day != "" && (err != nil || date.Format(DayFormat) != day || day < MinDay || day > MaxDay) {
			c.addFault(fmt.Sprintf("%s/days/%d", path, i), "must be a date from %s to %s; is %q", MinDay, MaxDay, day)
		}
	}
	blackout.ICS = o.text("ics", "", false)
	_, ics := o.fields["ics"]
	_, days := o.fields["days"]
	_, rules := o.fields["rules"]
	switch {
	case len(blackout.ICS) > MaxICSBytes:
		c.addFault(path+"/ics", "is %d bytes; at most %d", len(blackout.ICS), MaxICSBytes)
	case ics && (days || rules):
		c.addFault(path+"/ics", "cannot stand beside days or rules")
	case !ics && !days && !rules:
		c.addFault(path, "holds no day: give days, rules or ics")
	}
	o.rejectUnknown()
	return blackout
}

// checkServiceRegions reports services that name an unknown region.
func (c *checker) checkServiceRegions(state *State) {
	for _, name := range state.ServiceNames() {
		for i, region := range state.Services[name].Regions {
			if region != "" && state.Regions[region] == nil {
				c.addFault(fmt.Sprintf("/services/%s/regions/%d", name, i), "names %q, which regions does not hold", region)
			}
		}
	}
}

func (s *State) BlackoutNames() []string { return sortedKeys(s.Blackouts) }

func equal[V any](before, after *V) bool { return reflect.DeepEqual(before, after) }

// unionKeys returns the sorted keys of both maps.
func unionKeys[K ~string, V any](before, after map[K]*V) []K {
	keys := []K{}
	for key := range before {
		keys = append(keys, key)
	}
	for key := range after {
		if before[key] == nil {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// sameRouting reports whether two routes select the same lanes in the same way. It ignores the settings
// of those lanes, which are compared on their own.
func (r *Route) sameRouting(other *Route) bool {
	if r == nil || other == nil {
		return r == other
	}
	a, b := *r, *other
	a.Targets, b.Targets = nil, nil
	return reflect.DeepEqual(a, b) && slices.EqualFunc(r.Targets, other.Targets, func(x, y Target) bool {
		return x.Weight == y.Weight && x.Lane.Name == y.Lane.Name && x.Lane.Service == y.Lane.Service
	})
}

// AffectedRegions returns the regions whose routing a change between the two states alters. A service
// without regions affects every region that has a calendar.
func AffectedRegions(before, after *State) []string {
	if before == nil {
		before = &State{}
	}
	regions := map[string]bool{}
	addAll := func() {
		for _, state := range []*State{before, after} {
			for name := range state.Blackouts {
				regions[name] = true
			}
		}
	}
	addService := func(n ident.Service) {
		for _, s := range []*State{before, after} {
			service := s.Services[n]
			if service == nil {
				continue
			}
			if len(service.Regions) == 0 {
				addAll()
			}
			for _, r := range service.Regions {
				regions[r] = true
			}
		}
	}
	for _, n := range unionKeys(before.Services, after.Services) {
		if !equal(before.Services[n], after.Services[n]) {
			addService(n)
		}
	}
	for _, n := range unionKeys(before.Lanes, after.Lanes) {
		if x, y := before.Lanes[n], after.Lanes[n]; !equal(x, y) {
			for _, l := range []*Lane{x, y} {
				if l != nil {
					addService(l.Service)
				}
			}
		}
	}
	for _, n := range unionKeys(before.Routes, after.Routes) {
		if x, y := before.Routes[n], after.Routes[n]; !x.sameRouting(y) {
			for _, r := range []*Route{x, y} {
				if r == nil {
					continue
				}
				for _, t := range r.Targets {
					addService(t.Lane.Service)
				}
			}
		}
	}
	for _, n := range unionKeys(before.Regions, after.Regions) {
		if !equal(before.Regions[n], after.Regions[n]) {
			regions[n] = true
		}
	}
	return sortedKeys(regions)
}

// Diff returns the patch with which Merge turns before into after.
func Diff(before, after any) any {
	patch, _ := diff(before, after).(map[string]any)
	if patch == nil {
		patch = map[string]any{}
	}
	return patch
}

func diff(before, after any, path ...string) any {
	old, oldIsObject := before.(map[string]any)
	updated, updatedIsObject := after.(map[string]any)
	if !oldIsObject || !updatedIsObject {
		return after
	}
	patch := map[string]any{}
	for key := range old {
		if _, ok := updated[key]; !ok {
			patch[key] = nil
		}
	}
	for k, v := range updated {
		previous, existed := old[k]
		if existed && reflect.DeepEqual(previous, v) {
			continue
		}
		at := append(path[:len(path):len(path)], k)
		if !existed || len(at) == 3 && at[0] == "routes" && k == "lanes" {
			patch[k] = v
			continue
		}
		patch[k] = diff(previous, v, at...)
	}
	return patch
}
