// Package desired reads and checks configurations and lays changes on them; it names all faults at once.
package desired

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"sloeturn/ident"
)

const (
	EditionMost = 1<<53 - 1
	SeatsMost   = 1 << 20
)

type Fleet struct {
	Open     bool
	Nodes    int
	Surge    int
	Retiring int
}

func (f Fleet) Seats() int { return f.Nodes + f.Surge + f.Retiring }

type Probe struct {
	Slots int
	Path  string
	Every time.Duration
	Wait  time.Duration
}

type Service struct {
	Name           ident.Service
	MaxConnections int
	Reserve        int
	Probe          Probe
	FurtherShots   int
	FurtherShare   int
	Named          bool
	Line           int
	Regions        []string
}

type Lane struct {
	Name       ident.Lane
	Tenant     string
	Service    ident.Service
	Slots      int
	Weight     int
	Waiters    int
	Wait       time.Duration
	Connect    time.Duration
	Work       time.Duration
	Whole      time.Duration
	Once       bool
	Attempts   int
	Body       int64
	Answer     int64
	Repeatable bool
	Route      string
	Aim        time.Duration
	Rank       int
}

type Limits struct {
	Head     int64
	Body     int64
	HeadWait time.Duration
	IdleWait time.Duration
}

type Tenant struct {
	Name    string
	Digests []string
}

type State struct {
	Edition   uint64
	Fleet     Fleet
	Limits    *Limits
	Services  map[ident.Service]*Service
	Lanes     map[ident.Lane]*Lane
	Tenants   map[string]*Tenant
	Routes    map[string]*Route
	Regions   map[string]*Region
	Blackouts map[string]*Blackout

	hosts map[string][]*Route
}

type check struct {
	faults []Fault
}

func (c *check) say(path, form string, args ...any) {
	c.faults = append(c.faults, Fault{path, fmt.Sprintf(form, args...)})
}

type object struct {
	*check
	path string
	m    map[string]any
	seen map[string]bool
}

func (c *check) object(path string, v any) *object {
	m, ok := v.(map[string]any)
	if !ok {
		c.say(path, "must be an object")
		m = map[string]any{}
	}
	return &object{c, path, m, map[string]bool{}}
}

func (o *object) take(key string) (any, bool) {
	o.seen[key] = true
	v, ok := o.m[key]
	return v, ok
}

func (o *object) whole(key string, least, most, usual int, must bool) int {
	v, ok := o.take(key)
	at := o.path + "/" + key
	if !ok {
		if must {
			o.say(at, "is missing")
		}
		return usual
	}
	n, ok := v.(json.Number)
	if !ok {
		o.say(at, "must be a whole number")
		return usual
	}
	i, err := n.Int64()
	if err != nil {
		o.say(at, "must be a whole number")
		return usual
	}
	if i < int64(least) || i > int64(most) {
		o.say(at, "is %d; must be from %d to %d", i, least, most)
		return usual
	}
	return int(i)
}

func (o *object) text(key, usual string, must bool) string {
	v, ok := o.take(key)
	at := o.path + "/" + key
	if !ok {
		if must {
			o.say(at, "is missing")
		}
		return usual
	}
	s, ok := v.(string)
	if !ok || s == "" {
		o.say(at, "must be a text that is not empty")
		return usual
	}
	return s
}

func (o *object) flag(key string) bool {
	v, ok := o.take(key)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		o.say(o.path+"/"+key, "must be true or false")
	}
	return b
}

func (o *object) span(key string, least, most, usual int) time.Duration {
	return time.Duration(o.whole(key, least, most, usual, false)) * time.Millisecond
}

func (o *object) end() {
	for _, k := range names(o.m) {
		if !o.seen[k] {
			o.say(o.path+"/"+k, "is not known here")
		}
	}
}

func (o *object) each(key string, most int, ok func(string) bool, rule string, f func(name, path string, v any)) {
	v, given := o.take(key)
	if !given {
		return
	}
	at := o.path + "/" + key
	in := o.object(at, v)
	if len(in.m) > most {
		o.say(at, "has %d entries; at most %d", len(in.m), most)
		return
	}
	for _, k := range names(in.m) {
		if !ok(k) {
			o.say(at+"/"+k, "%s", rule)
		}
		f(k, at+"/"+k, in.m[k])
	}
}

const nameRule = "name must be 1 to 64 of a-z, 0-9, '-', starting with a letter"

func NameOK(s string) bool {
	if len(s) == 0 || len(s) > 64 || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

func names[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func Check(tree any) (*State, []Fault) {
	c := &check{}
	s := &State{Services: map[ident.Service]*Service{}, Lanes: map[ident.Lane]*Lane{}, Tenants: map[string]*Tenant{}, Routes: map[string]*Route{}, Regions: map[string]*Region{}, Blackouts: map[string]*Blackout{}, hosts: map[string][]*Route{}}
	o := c.object("", tree)
	s.Edition = uint64(o.whole("edition", 1, EditionMost, 0, false))
	if v, ok := o.take("fleet"); ok {
		s.Fleet = c.fleet(v)
	} else {
		c.say("/fleet", "is missing")
	}
	if v, ok := o.take("limits"); ok {
		s.Limits = c.limits(v)
	}
	o.each("services", 1024, NameOK, nameRule, func(name, path string, v any) { s.Services[ident.Service(name)] = c.service(name, path, v) })
	o.each("tenants", 1024, NameOK, nameRule, func(name, path string, v any) { s.Tenants[name] = c.tenant(name, path, v) })
	o.each("lanes", 4096, NameOK, nameRule, func(name, path string, v any) { s.Lanes[ident.Lane(name)] = c.lane(name, path, v, s) })
	o.each("routes", 4096, RouteOK, routeRule, func(name, path string, v any) { s.Routes[name] = c.route(name, path, v, s) })
	c.pave(s)
	of := map[ident.Cell]string{}
	o.each("regions", RegionsMost, NameOK, nameRule, func(name, path string, v any) { s.Regions[name] = c.region(name, path, v, s, of) })
	o.each("blackouts", RegionsMost, NameOK, nameRule, func(name, path string, v any) { s.Blackouts[name] = c.blackout(name, path, v, s) })
	c.within(s)
	o.end()
	if len(c.faults) == 0 {
		c.sums(s)
	}
	return s, c.faults
}

func (c *check) fleet(v any) Fleet {
	o := c.object("/fleet", v)
	f := Fleet{Open: o.flag("open")}
	if f.Open {
		for _, k := range []string{"nodes", "surge", "retiring"} {
			if _, ok := o.take(k); ok {
				c.say("/fleet/"+k, "cannot stand beside open: an open fleet declares no count")
			}
		}
	} else {
		f.Nodes = o.whole("nodes", 1, 4096, 1, true)
		f.Surge = o.whole("surge", 0, 4096, 0, false)
		f.Retiring = o.whole("retiring", 0, 4096, 0, false)
	}
	o.end()
	return f
}

func (c *check) limits(v any) *Limits {
	o := c.object("/limits", v)
	out := &Limits{
		Head:     int64(o.whole("headBytes", 1, 16<<20, 0, false)),
		Body:     int64(o.whole("bodyBytes", 1, 1<<30, 0, false)),
		HeadWait: o.span("headMs", 1, 3600000, 0),
		IdleWait: o.span("idleMs", 1, 3600000, 0),
	}
	o.end()
	return out
}

func (c *check) service(name, path string, v any) *Service {
	o := c.object(path, v)
	out := &Service{Name: ident.Service(name)}
	out.MaxConnections = o.whole("maxConnections", 1, 1<<20, 1, true)
	out.Reserve = o.whole("reserve", 0, 1<<20, 0, false)
	out.FurtherShots = o.whole("furtherShots", 0, 10000, 10, false)
	out.FurtherShare = o.whole("furtherShare", 0, 1000, 200, false)
	out.Line = o.whole("line", 0, 64, 0, false)
	out.Named = o.flag("named")
	out.Probe = Probe{Slots: 1, Path: "/soundness", Every: time.Second, Wait: 500 * time.Millisecond}
	if v, ok := o.take("probe"); ok {
		p := c.object(path+"/probe", v)
		out.Probe.Slots = p.whole("slots", 1, 4, 1, false)
		out.Probe.Path = p.text("path", "/soundness", false)
		if !strings.HasPrefix(out.Probe.Path, "/") || strings.ContainsAny(out.Probe.Path, " \r\n") {
			c.say(path+"/probe/path", "must start with '/' and hold no blank")
		}
		out.Probe.Every = p.span("everyMs", 100, 60000, 1000)
		out.Probe.Wait = p.span("waitMs", 50, 60000, 500)
		if out.Probe.Wait > out.Probe.Every {
			c.say(path+"/probe/waitMs", "is %v; must not pass everyMs, %v", out.Probe.Wait, out.Probe.Every)
		}
		if _, ok := p.m["slots"]; ok && out.Named {
			c.say(path+"/probe/slots", "cannot stand beside named: no probe's connection is held")
		}
		p.end()
	}
	if out.Named {
		out.Probe.Slots = 0
	}
	out.Regions = o.texts("regions", RegionsMost)
	o.end()
	return out
}

func (c *check) tenant(name, path string, v any) *Tenant {
	o := c.object(path, v)
	out := &Tenant{Name: name}
	if v, ok := o.take("keyDigests"); ok {
		list, ok := v.([]any)
		if !ok {
			c.say(path+"/keyDigests", "must be a list")
		}
		for i, e := range list {
			s, ok := e.(string)
			b, err := hex.DecodeString(s)
			if !ok || err != nil || len(b) != 32 || s != strings.ToLower(s) {
				c.say(fmt.Sprintf("%s/keyDigests/%d", path, i), "must be a SHA-256 digest, 64 small hex digits")
				continue
			}
			out.Digests = append(out.Digests, s)
		}
	}
	o.end()
	return out
}

func (c *check) lane(name, path string, v any, s *State) *Lane {
	o := c.object(path, v)
	out := &Lane{Name: ident.Lane(name)}
	out.Tenant = o.text("tenant", "", true)
	out.Service = ident.Service(o.text("service", "", true))
	out.Slots = o.whole("slots", 1, 1<<16, 1, true)
	out.Weight = o.whole("weight", 1, 1<<16, out.Slots, false)
	out.Waiters = o.whole("waiters", 0, 64, 2, false)
	out.Wait = o.span("waitMs", 0, 200, 180)
	out.Connect = o.span("connectMs", 1, 200, 150)
	out.Work = o.span("workMs", 1, 3600000, 1000)
	out.Whole = o.span("wholeMs", 1, 3600000, int(math.Max(2000, float64(out.Work.Milliseconds()+200))))
	out.Once = o.flag("once")
	if out.Repeatable = o.flag("repeatable"); out.Repeatable && out.Once {
		c.say(path+"/repeatable", "cannot stand beside once")
	}
	out.Attempts = o.whole("shots", 1, 4, 2, false)
	out.Body = int64(o.whole("bodyBytes", 0, 16<<20, 64<<10, false))
	out.Answer = int64(o.whole("answerBytes", 1, 64<<20, 1<<20, false))
	if out.Tenant != "" && s.Tenants[out.Tenant] == nil {
		c.say(path+"/tenant", "names %q, which tenants does not hold", out.Tenant)
	}
	if out.Service != "" && s.Services[out.Service] == nil {
		c.say(path+"/service", "names %q, which services does not hold", out.Service)
	}
	if out.Wait > 0 && out.Connect > out.Wait {
		c.say(path+"/connectMs", "is %v; must nest in waitMs, %v", out.Connect, out.Wait)
	}
	if out.Work > out.Whole {
		c.say(path+"/workMs", "is %v; must nest in wholeMs, %v", out.Work, out.Whole)
	}
	o.end()
	return out
}

func (s *State) LaneNames() []ident.Lane {
	out := make([]ident.Lane, 0, len(s.Lanes))
	for k := range s.Lanes {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (s *State) ServiceNames() []ident.Service {
	out := make([]ident.Service, 0, len(s.Services))
	for k := range s.Services {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (s *State) SeatFence(name ident.Service) int {
	v := s.Services[name]
	if v == nil {
		return 0
	}
	return (v.MaxConnections - v.Reserve) / s.Seats()
}

func (s *State) Slots() map[ident.Service]int {
	out := map[ident.Service]int{}
	for n, v := range s.Services {
		out[n] = v.Probe.Slots
	}
	for _, l := range s.Lanes {
		out[l.Service] += l.Slots
	}
	return out
}

func (s *State) Seats() int {
	if !s.Fleet.Open {
		return s.Fleet.Seats()
	}
	n := SeatsMost
	sums := s.Slots()
	for k, v := range s.Services {
		if sums[k] > 0 {
			n = min(n, (v.MaxConnections-v.Reserve)/sums[k])
		}
	}
	return max(0, n)
}

func (c *check) sums(s *State) {
	for _, name := range s.ServiceNames() {
		v := s.Services[name]
		sum, text := v.Probe.Slots, fmt.Sprintf("probe %d", v.Probe.Slots)
		for _, n := range s.LaneNames() {
			if l := s.Lanes[n]; l.Service == name {
				sum += l.Slots
				text += fmt.Sprintf(" + %s %d", n, l.Slots)
			}
		}
		if s.Fleet.Open {
			if sum+v.Reserve > v.MaxConnections {
				c.say("/services/"+string(name)+"/maxConnections", "is %d; one seat of an open fleet needs %d slots (%s) + reserve %d = %d", v.MaxConnections, sum, text, v.Reserve, sum+v.Reserve)
			}
			continue
		}
		seats := s.Fleet.Seats()
		if peak := sum*seats + v.Reserve; peak > v.MaxConnections {
			c.say("/services/"+string(name)+"/maxConnections", "is %d; the peak is %d seats (nodes %d + surge %d + retiring %d) x %d slots (%s) + reserve %d = %d",
				v.MaxConnections, seats, s.Fleet.Nodes, s.Fleet.Surge, s.Fleet.Retiring, sum, text, v.Reserve, peak)
		}
	}
}

func Read(doc []byte) (*State, []Fault) {
	tree, faults := ReadTree(doc)
	if len(faults) > 0 {
		return nil, faults
	}
	s, faults := Check(tree)
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}
