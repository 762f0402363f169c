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
	RegionsMost = 16
	RulesMost   = 16
	DaysMost    = 1024
	IcsMost     = 64 << 10
	DayForm     = "2006-01-02"
	DayLeast    = "2000-01-01"
	DayMost     = "2059-12-31"
)

type Region struct {
	Name  string
	Cells []ident.Cell
}

type Blackout struct {
	Region string
	Zone   string
	Days   []string
	Rules  []string
	Ics    string
}

func (o *object) texts(key string, most int) []string {
	v, ok := o.take(key)
	if !ok {
		return nil
	}
	at := o.path + "/" + key
	list, ok := v.([]any)
	if !ok {
		o.say(at, "must be a list")
		return nil
	}
	if len(list) > most {
		o.say(at, "has %d entries; at most %d", len(list), most)
		return nil
	}
	out := []string{}
	for i, e := range list {
		s, ok := e.(string)
		if !ok || s == "" {
			o.say(fmt.Sprintf("%s/%d", at, i), "must be a text that is not empty")
		} else if slices.Contains(out, s) {
			o.say(fmt.Sprintf("%s/%d", at, i), "names %s twice", s)
		}
		out = append(out, s)
	}
	if len(list) == 0 {
		o.say(at, "is empty")
	}
	return out
}

func (c *check) region(name, path string, v any, s *State, of map[ident.Cell]string) *Region {
	o := c.object(path, v)
	out := &Region{Name: name}
	for i, n := range o.texts("cells", 1024) {
		at := fmt.Sprintf("%s/cells/%d", path, i)
		if n == "" {
			continue
		}
		if !NameOK(n) {
			c.say(at, "%s", nameRule)
		}
		k := ident.Cell(n)
		if other, ok := of[k]; ok && other != name {
			c.say(at, "names cell %s, which region %s holds", n, other)
		}
		of[k] = name
		out.Cells = append(out.Cells, k)
	}
	o.end()
	return out
}

func (c *check) blackout(name, path string, v any, s *State) *Blackout {
	o := c.object(path, v)
	out := &Blackout{Region: name, Zone: o.text("zone", "", true)}
	if s.Regions[name] == nil {
		c.say(path, "names a region that regions does not hold")
	}
	out.Days, out.Rules = o.texts("days", DaysMost), o.texts("rules", RulesMost)
	for i, d := range out.Days {
		t, err := time.Parse(DayForm, d)
		if d != "" && (err != nil || t.Format(DayForm) != d || d < DayLeast || d > DayMost) {
			c.say(fmt.Sprintf("%s/days/%d", path, i), "must be a date from %s to %s; is %q", DayLeast, DayMost, d)
		}
	}
	out.Ics = o.text("ics", "", false)
	_, ics := o.m["ics"]
	_, days := o.m["days"]
	_, rules := o.m["rules"]
	switch {
	case len(out.Ics) > IcsMost:
		c.say(path+"/ics", "is %d bytes; at most %d", len(out.Ics), IcsMost)
	case ics && (days || rules):
		c.say(path+"/ics", "cannot stand beside days or rules")
	case !ics && !days && !rules:
		c.say(path, "holds no day: give days, rules or ics")
	}
	o.end()
	return out
}

func (c *check) within(s *State) {
	for _, n := range s.ServiceNames() {
		for i, r := range s.Services[n].Regions {
			if r != "" && s.Regions[r] == nil {
				c.say(fmt.Sprintf("/services/%s/regions/%d", n, i), "names %q, which regions does not hold", r)
			}
		}
	}
}

func (s *State) BlackoutNames() []string { return names(s.Blackouts) }

func same[V any](a, b *V) bool { return reflect.DeepEqual(a, b) }

func parts[K ~string, V any](a, b map[K]*V) []K {
	out := []K{}
	for k := range a {
		out = append(out, k)
	}
	for k := range b {
		if a[k] == nil {
			out = append(out, k)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (r *Route) like(o *Route) bool {
	if r == nil || o == nil {
		return r == o
	}
	a, b := *r, *o
	a.Targets, b.Targets = nil, nil
	return reflect.DeepEqual(a, b) && slices.EqualFunc(r.Targets, o.Targets, func(x, y Target) bool {
		return x.Weight == y.Weight && x.Rule.Name == y.Rule.Name && x.Rule.Service == y.Rule.Service
	})
}

// Touched names the regions of which a change from a to b alters the routing. A service that names no region touches all that have a calendar.
func Touched(a, b *State) []string {
	if a == nil {
		a = &State{}
	}
	out := map[string]bool{}
	all := func() {
		for _, s := range []*State{a, b} {
			for n := range s.Blackouts {
				out[n] = true
			}
		}
	}
	service := func(n ident.Service) {
		for _, s := range []*State{a, b} {
			v := s.Services[n]
			if v == nil {
				continue
			}
			if len(v.Regions) == 0 {
				all()
			}
			for _, r := range v.Regions {
				out[r] = true
			}
		}
	}
	for _, n := range parts(a.Services, b.Services) {
		if !same(a.Services[n], b.Services[n]) {
			service(n)
		}
	}
	for _, n := range parts(a.Lanes, b.Lanes) {
		if x, y := a.Lanes[n], b.Lanes[n]; !same(x, y) {
			for _, l := range []*Lane{x, y} {
				if l != nil {
					service(l.Service)
				}
			}
		}
	}
	for _, n := range parts(a.Routes, b.Routes) {
		if x, y := a.Routes[n], b.Routes[n]; !x.like(y) {
			for _, r := range []*Route{x, y} {
				if r == nil {
					continue
				}
				for _, t := range r.Targets {
					service(t.Rule.Service)
				}
			}
		}
	}
	for _, n := range parts(a.Regions, b.Regions) {
		if !same(a.Regions[n], b.Regions[n]) {
			out[n] = true
		}
	}
	return names(out)
}

// Diff gives the patch that turns a into b under Merge.
func Diff(a, b any) any {
	out, _ := diff(a, b).(map[string]any)
	if out == nil {
		out = map[string]any{}
	}
	return out
}

func diff(a, b any, path ...string) any {
	x, ok := a.(map[string]any)
	y, also := b.(map[string]any)
	if !ok || !also {
		return b
	}
	out := map[string]any{}
	for k := range x {
		if _, ok := y[k]; !ok {
			out[k] = nil
		}
	}
	for k, v := range y {
		old, was := x[k]
		if was && reflect.DeepEqual(old, v) {
			continue
		}
		at := append(path[:len(path):len(path)], k)
		if !was || len(at) == 3 && at[0] == "routes" && k == "lanes" {
			out[k] = v
			continue
		}
		out[k] = diff(old, v, at...)
	}
	return out
}
