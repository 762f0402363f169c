package desired

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"sort"
	"strings"
	"time"
	"unicode"

	"sloeturn/ident"
)

const (
	routeRule = "name must be 1 to 128 of letters, digits, '.', '_', '-'"
	evenStep  = 0x9e3779b97f4a7c15
)

type Target struct {
	Rule   *Lane
	Weight int
}

type Route struct {
	Name       string
	Host       string
	Prefix     string
	Repeatable bool
	Aim        time.Duration
	Whole      time.Duration
	Rank       int
	Attempts   int
	Targets    []Target
	Sum        int
}

func RouteOK(s string) bool {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	return len(s) > 0 && len(s) <= 128 && strings.Trim(s, letters+"0123456789._-") == ""
}

func hostOK(s string) bool {
	return len(s) <= 253 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789.-") == ""
}

func prefixOK(s string) bool {
	return s[0] == '/' && s[len(s)-1] == '/' && !strings.ContainsFunc(s, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) })
}

func (c *check) route(name, path string, v any, s *State) *Route {
	o := c.object(path, v)
	out := &Route{Name: name}
	if out.Host = o.text("host", "", true); out.Host != "" && !hostOK(out.Host) {
		c.say(path+"/host", "must be 1 to 253 of a-z, 0-9, '.', '-'")
		out.Host = ""
	}
	if out.Prefix = o.text("prefix", "", true); out.Prefix != "" && !prefixOK(out.Prefix) {
		c.say(path+"/prefix", "must begin and end with '/' and hold no blank or control character")
		out.Prefix = ""
	}
	out.Repeatable = o.flag("repeatable")
	out.Aim = o.span("aimMs", 1, 3600000, 0)
	out.Rank = o.whole("rank", 0, 1000, 0, false)
	out.Whole = time.Duration(o.whole("wholeMs", 1, 3600000, 1, true)) * time.Millisecond
	out.Attempts = o.whole("shots", 1, 16, 1, true)
	c.targets(out, o, s)
	o.end()
	return out
}

func (c *check) targets(r *Route, o *object, s *State) {
	v, ok := o.take("lanes")
	at := o.path + "/lanes"
	if !ok {
		c.say(at, "is missing")
		return
	}
	in := c.object(at, v)
	faults := len(c.faults)
	for _, k := range names(in.m) {
		w := in.whole(k, 0, 1000000, 0, true)
		l := s.Lanes[ident.Lane(k)]
		if l == nil {
			c.say(at+"/"+k, "names a lane that lanes does not hold")
			continue
		}
		r.Targets = append(r.Targets, Target{r.rule(l, s.Limits), w})
		r.Sum += w
	}
	if _, ok := v.(map[string]any); ok && r.Sum == 0 && len(c.faults) == faults {
		c.say(at, "weights sum to 0; one must be over 0")
	}
}

func (r *Route) rule(l *Lane, most *Limits) *Lane {
	out := *l
	out.Route, out.Repeatable, out.Aim, out.Rank, out.Once = r.Name, r.Repeatable, r.Aim, r.Rank, false
	out.Work, out.Whole, out.Attempts = r.Whole, r.Whole, r.Attempts
	if r.Aim > 0 {
		wait := max(time.Millisecond, r.Aim/4-10*time.Millisecond)
		out.Wait, out.Connect = min(out.Wait, wait), min(out.Connect, wait)
	}
	if out.Wait > 0 {
		out.Connect = min(out.Connect, out.Wait)
	}
	if most != nil && most.Body > 0 {
		out.Body = min(out.Body, most.Body)
	}
	return &out
}

func (c *check) pave(s *State) {
	first := map[string]string{}
	for _, n := range names(s.Routes) {
		r := s.Routes[n]
		if r.Host == "" || r.Prefix == "" {
			continue
		}
		at := r.Host + r.Prefix
		if f, ok := first[at]; ok {
			c.say("/routes/"+n, "has the host %q and prefix %q of route %q", r.Host, r.Prefix, f)
			continue
		}
		first[at] = n
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
	}
	for _, l := range s.hosts {
		sort.SliceStable(l, func(i, j int) bool { return len(l[i].Prefix) > len(l[j].Prefix) })
	}
}

func (s *State) RouteNames() []string { return names(s.Routes) }

func (s *State) Find(host, path string) *Route {
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func (r *Route) Pick(n uint64) *Lane {
	at, _ := bits.Mul64(n*evenStep, uint64(r.Sum))
	for _, t := range r.Targets {
		if at < uint64(t.Weight) {
			return t.Rule
		}
		at -= uint64(t.Weight)
	}
	return nil
}

func (s *State) Follows(edition uint64) []Fault {
	switch {
	case edition == 0 || s.Edition > edition:
		return nil
	case s.Edition == 0:
		return []Fault{{"/edition", fmt.Sprintf("is missing; the state this stands on has edition %d", edition)}}
	}
	return []Fault{{"/edition", fmt.Sprintf("is %d; must be over %d, the edition this stands on", s.Edition, edition)}}
}

func EditionOf(doc []byte) uint64 {
	tree, _ := ReadTree(doc)
	m, _ := tree.(map[string]any)
	n, _ := m["edition"].(json.Number)
	i, err := n.Int64()
	if err != nil || i < 1 || i > EditionMost {
		return 0
	}
	return uint64(i)
}
