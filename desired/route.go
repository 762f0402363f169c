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
	routeNameRule   = "name must be 1 to 128 of letters, digits, '.', '_', '-'"
	goldenRatioStep = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio, for Fibonacci hashing
)

// Target is a lane of a route, with the limits that the route sets, and its weight.
type Target struct {
	Lane   *Lane
	Weight int
}

// Route maps requests by host and path prefix to weighted lanes.
type Route struct {
	Name           string
	Host           string
	Prefix         string
	Repeatable     bool
	TargetLatency  time.Duration
	RequestTimeout time.Duration
	Priority       int
	MaxAttempts    int
	Targets        []Target
	TotalWeight    int
}

// ValidRouteName reports whether name may name a route.
func ValidRouteName(name string) bool {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	return len(name) > 0 && len(name) <= 128 && strings.Trim(name, letters+"0123456789._-") == ""
}

func validHost(host string) bool {
	return len(host) <= 253 && strings.Trim(host, "abcdefghijklmnopqrstuvwxyz0123456789.-") == ""
}

func validPrefix(prefix string) bool {
	return prefix[0] == '/' && prefix[len(prefix)-1] == '/' && !strings.ContainsFunc(prefix, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) })
}

func (c *checker) route(name, path string, value any, state *State) *Route {
	o := c.object(path, value)
	route := &Route{Name: name}
	if route.Host = o.text("host", "", true); route.Host != "" && !validHost(route.Host) {
		c.addFault(path+"/host", "must be 1 to 253 of a-z, 0-9, '.', '-'")
		route.Host = ""
	}
	if route.Prefix = o.text("prefix", "", true); route.Prefix != "" && !validPrefix(route.Prefix) {
		c.addFault(path+"/prefix", "must begin and end with '/' and hold no blank or control character")
		route.Prefix = ""
	}
	route.Repeatable = o.boolean("repeatable")
	route.TargetLatency = o.milliseconds("aimMs", 1, 3600000, 0)
	route.Priority = o.integer("rank", 0, 1000, 0, false)
	route.RequestTimeout = time.Duration(o.integer("wholeMs", 1, 3600000, 1, true)) * time.Millisecond
	route.MaxAttempts = o.integer("shots", 1, 16, 1, true)
	c.targets(route, o, state)
	o.rejectUnknown()
	return route
}

// targets reads the lanes of a route with their weights.
func (c *checker) targets(route *Route, o *object, state *State) {
	value, ok := o.lookup("lanes")
	at := o.path + "/lanes"
	if !ok {
		c.addFault(at, "is missing")
		return
	}
	weights := c.object(at, value)
	faults := len(c.faults)
	for _, name := range sortedKeys(weights.fields) {
		weight := weights.integer(name, 0, 1000000, 0, true)
		lane := state.Lanes[ident.Lane(name)]
		if lane == nil {
			c.addFault(at+"/"+name, "names a lane that lanes does not hold")
			continue
		}
		route.Targets = append(route.Targets, Target{route.effectiveLane(lane, state.Limits), weight})
		route.TotalWeight += weight
	}
	if _, ok := value.(map[string]any); ok && route.TotalWeight == 0 && len(c.faults) == faults {
		c.addFault(at, "weights sum to 0; one must be over 0")
	}
}

// effectiveLane returns a copy of the lane with the limits of the route. A quarter of the target latency,
// less 10 ms, bounds the waits for admission and for a connection.
func (r *Route) effectiveLane(lane *Lane, limits *Limits) *Lane {
	effective := *lane
	effective.Route, effective.Repeatable, effective.TargetLatency, effective.Priority, effective.AtMostOnce = r.Name, r.Repeatable, r.TargetLatency, r.Priority, false
	effective.ResponseTimeout, effective.RequestTimeout, effective.MaxAttempts = r.RequestTimeout, r.RequestTimeout, r.MaxAttempts
	if r.TargetLatency > 0 {
		wait := max(time.Millisecond, r.TargetLatency/4-10*time.Millisecond)
		effective.MaxWait, effective.ConnectTimeout = min(effective.MaxWait, wait), min(effective.ConnectTimeout, wait)
	}
	if effective.MaxWait > 0 {
		effective.ConnectTimeout = min(effective.ConnectTimeout, effective.MaxWait)
	}
	if limits != nil && limits.BodyBytes > 0 {
		effective.MaxRequestBody = routedBodyBytes(lane, limits)
	}
	return &effective
}

// maxLaneBodyBytes is the longest body that a lane can state.
const maxLaneBodyBytes = 16 << 20

// routedBodyBytes is the longest body of a routed request. A lane that states the longest there is leaves it
// to the fleet's limits, which may be larger.
func routedBodyBytes(lane *Lane, limits *Limits) int64 {
	if lane.MaxRequestBody == maxLaneBodyBytes {
		return limits.BodyBytes
	}
	return min(lane.MaxRequestBody, limits.BodyBytes)
}

// indexRoutes groups the routes by host, the longest prefixes first, and reports routes of the same host
// and prefix.
func (c *checker) indexRoutes(state *State) {
	first := map[string]string{}
	for _, name := range sortedKeys(state.Routes) {
		route := state.Routes[name]
		if route.Host == "" || route.Prefix == "" {
			continue
		}
		at := route.Host + route.Prefix
		if other, ok := first[at]; ok {
			c.addFault("/routes/"+name, "has the host %q and prefix %q of route %q", route.Host, route.Prefix, other)
			continue
		}
		first[at] = name
		state.routesByHost[route.Host] = append(state.routesByHost[route.Host], route)
	}
	for _, routes := range state.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

func (s *State) RouteNames() []string { return sortedKeys(s.Routes) }

// FindRoute returns the route with the longest prefix of the path, or nil.
func (s *State) FindRoute(host, path string) *Route {
	for _, route := range s.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// PickLane returns a lane by weight. Consecutive numbers are spread evenly over the weights, and the same
// number gives the same lane.
func (r *Route) PickLane(number uint64) *Lane {
	remaining, _ := bits.Mul64(number*goldenRatioStep, uint64(r.TotalWeight))
	for _, target := range r.Targets {
		if remaining < uint64(target.Weight) {
			return target.Lane
		}
		remaining -= uint64(target.Weight)
	}
	return nil
}

// CheckEdition reports a fault unless the state's edition is higher than the one of the state that it
// replaces. Without an edition there, any is allowed.
func (s *State) CheckEdition(edition uint64) []Fault {
	switch {
	case edition == 0 || s.Edition > edition:
		return nil
	case s.Edition == 0:
		return []Fault{{"/edition", fmt.Sprintf("is missing; the state this stands on has edition %d", edition)}}
	}
	return []Fault{{"/edition", fmt.Sprintf("is %d; must be over %d, the edition this stands on", s.Edition, edition)}}
}

// EditionOf returns the edition that a document declares, or 0.
func EditionOf(doc []byte) uint64 {
	tree, _ := ReadTree(doc)
	fields, _ := tree.(map[string]any)
	number, _ := fields["edition"].(json.Number)
	edition, err := number.Int64()
	if err != nil || edition < 1 || edition > MaxEdition {
		return 0
	}
	return uint64(edition)
}
