// Package desired parses, validates and merges the operators' configuration, the desired state.
// Validation reports every fault at once.
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
	MaxEdition = 1<<53 - 1 // the largest integer that every JSON number type holds exactly
	MaxSeats   = 1 << 20   // seats of an open fleet
)

// Fleet declares how many data plane nodes share the backends' capacity. Each node occupies a seat, a
// numbered share of each backend's capacity. An open fleet declares no node count: its seats follow
// from the services' capacity.
type Fleet struct {
	Open     bool
	Nodes    int
	Surge    int
	Retiring int
}

// Seats returns the number of seats of a fleet that declares its node count.
func (f Fleet) Seats() int { return f.Nodes + f.Surge + f.Retiring }

// Probe configures the health checks of a service's backends. Slots is the number of connections that
// are held for them.
type Probe struct {
	Slots    int
	Path     string
	Interval time.Duration
	Timeout  time.Duration
}

// Service is a group of backends that serve the same requests.
type Service struct {
	Name           ident.Service
	MaxConnections int // connections that one backend accepts
	Reserve        int // connections of MaxConnections that no seat may use
	Probe          Probe
	RetryBudget    int      // capacity of the retry budget, divided among the seats
	RetryPerMille  int      // thousandths of a retry that each first attempt adds to the budget
	Named          bool     // health checks hold no connection of their own
	OverflowFactor int      // connections beyond a backend's slots, as a multiple of them
	Regions        []string // regions that the service belongs to; none: all
}

// Lane is the named share of a tenant at a service, with the limits of its requests.
type Lane struct {
	Name            ident.Lane
	Tenant          string
	Service         ident.Service
	Slots           int // connections to each backend for each seat
	Weight          int
	MaxWaiters      int           // requests that may wait for a connection
	MaxWait         time.Duration // longest wait for a connection; 0: requests never wait
	ConnectTimeout  time.Duration
	ResponseTimeout time.Duration // time for the response to one attempt
	RequestTimeout  time.Duration // time for the request with all its attempts
	AtMostOnce      bool          // requests carry an idempotency key that is claimed before the first attempt
	MaxAttempts     int
	MaxRequestBody  int64
	MaxResponseBody int64
	Repeatable      bool          // an attempt whose outcome is unknown may be retried
	Route           string        // set on the copy of a lane that belongs to a route
	TargetLatency   time.Duration // target latency; 0: none
	Priority        int
}

// Limits bounds the requests that a client may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Tenant is a client of the gateway. KeyDigests holds the SHA-256 digests of its keys, in hexadecimal.
type Tenant struct {
	Name       string
	KeyDigests []string
}

// State is a validated configuration.
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

	routesByHost map[string][]*Route
}

// checker collects the faults that validation finds.
type checker struct {
	faults []Fault
}

func (c *checker) addFault(path, format string, args ...any) {
	if len(c.faults) < MaxFaults {
		c.faults = append(c.faults, Fault{path, fmt.Sprintf(format, args...)})
	}
}

// object is a JSON object that is being validated. It records which keys were read, so that the others
// can be reported as unknown.
type object struct {
	*checker
	path   string
	fields map[string]any
	read   map[string]bool
}

func (c *checker) object(path string, value any) *object {
	fields, ok := value.(map[string]any)
	if !ok {
		c.addFault(path, "must be an object")
		fields = map[string]any{}
	}
	return &object{c, path, fields, map[string]bool{}}
}

func (o *object) lookup(key string) (any, bool) {
	o.read[key] = true
	value, ok := o.fields[key]
	return value, ok
}

// integer returns the whole number at key, or fallback if it is missing or out of range.
func (o *object) integer(key string, minimum, maximum, fallback int, required bool) int {
	value, ok := o.lookup(key)
	at := o.path + "/" + key
	if !ok {
		if required {
			o.addFault(at, "is missing")
		}
		return fallback
	}
	number, ok := value.(json.Number)
	if !ok {
		o.addFault(at, "must be a whole number")
		return fallback
	}
	parsed, err := number.Int64()
	if err != nil {
		o.addFault(at, "must be a whole number")
		return fallback
	}
	if parsed < int64(minimum) || parsed > int64(maximum) {
		o.addFault(at, "is %d; must be from %d to %d", parsed, minimum, maximum)
		return fallback
	}
	return int(parsed)
}

func (o *object) text(key, fallback string, required bool) string {
	value, ok := o.lookup(key)
	at := o.path + "/" + key
	if !ok {
		if required {
			o.addFault(at, "is missing")
		}
		return fallback
	}
	text, ok := value.(string)
	if !ok || text == "" {
		o.addFault(at, "must be a text that is not empty")
		return fallback
	}
	return text
}

func (o *object) boolean(key string) bool {
	value, ok := o.lookup(key)
	if !ok {
		return false
	}
	flag, ok := value.(bool)
	if !ok {
		o.addFault(o.path+"/"+key, "must be true or false")
	}
	return flag
}

func (o *object) milliseconds(key string, minimum, maximum, fallback int) time.Duration {
	return time.Duration(o.integer(key, minimum, maximum, fallback, false)) * time.Millisecond
}

// rejectUnknown reports the keys that no lookup asked for.
func (o *object) rejectUnknown() {
	for _, key := range sortedKeys(o.fields) {
		if !o.read[key] {
			o.addFault(o.path+"/"+key, "is not known here")
		}
	}
}

// forEach visits the entries of the object at key in the order of their names.
func (o *object) forEach(key string, maximum int, valid func(string) bool, rule string, visit func(name, path string, value any)) {
	v, present := o.lookup(key)
	if !present {
		return
	}
	at := o.path + "/" + key
	entries := o.object(at, v)
	if len(entries.fields) > maximum {
		o.addFault(at, "has %d entries; at most %d", len(entries.fields), maximum)
		return
	}
	for _, name := range sortedKeys(entries.fields) {
		if !valid(name) {
			o.addFault(at+"/"+name, "%s", rule)
		}
		visit(name, at+"/"+name, entries.fields[name])
	}
}

const nameRule = "name must be 1 to 64 of a-z, 0-9, '-', starting with a letter"

// ValidName reports whether s may name a service, tenant, lane, region, cell or member.
func ValidName(s string) bool {
	if len(s) == 0 || len(s) > 64 || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Validate builds the State of a tree from ReadTree. The State is usable only without faults.
func Validate(tree any) (*State, []Fault) {
	c := &checker{}
	s := &State{Services: map[ident.Service]*Service{}, Lanes: map[ident.Lane]*Lane{}, Tenants: map[string]*Tenant{}, Routes: map[string]*Route{}, Regions: map[string]*Region{}, Blackouts: map[string]*Blackout{}, routesByHost: map[string][]*Route{}}
	o := c.object("", tree)
	s.Edition = uint64(o.integer("edition", 1, MaxEdition, 0, false))
	if value, ok := o.lookup("fleet"); ok {
		s.Fleet = c.fleet(value)
	} else {
		c.addFault("/fleet", "is missing")
	}
	if v, ok := o.lookup("limits"); ok {
		s.Limits = c.limits(v)
	}
	o.forEach("services", 1024, ValidName, nameRule, func(name, path string, v any) { s.Services[ident.Service(name)] = c.service(name, path, v) })
	o.forEach("tenants", 1024, ValidName, nameRule, func(name, path string, v any) { s.Tenants[name] = c.tenant(name, path, v) })
	o.forEach("lanes", 4096, ValidName, nameRule, func(name, path string, v any) { s.Lanes[ident.Lane(name)] = c.lane(name, path, v, s) })
	o.forEach("routes", 4096, ValidRouteName, routeNameRule, func(name, path string, v any) { s.Routes[name] = c.route(name, path, v, s) })
	c.indexRoutes(s)
	regionOfCell := map[ident.Cell]string{}
	o.forEach("regions", MaxRegions, ValidName, nameRule, func(name, path string, v any) { s.Regions[name] = c.region(name, path, v, s, regionOfCell) })
	o.forEach("blackouts", MaxRegions, ValidName, nameRule, func(name, path string, v any) { s.Blackouts[name] = c.blackout(name, path, v, s) })
	c.checkServiceRegions(s)
	o.rejectUnknown()
	if len(c.faults) == 0 {
		c.checkCapacity(s)
	}
	return s, c.faults
}

func (c *checker) fleet(value any) Fleet {
	o := c.object("/fleet", value)
	fleet := Fleet{Open: o.boolean("open")}
	if fleet.Open {
		for _, key := range []string{"nodes", "surge", "retiring"} {
			if _, ok := o.lookup(key); ok {
				c.addFault("/fleet/"+key, "cannot stand beside open: an open fleet declares no count")
			}
		}
	} else {
		fleet.Nodes = o.integer("nodes", 1, 4096, 1, true)
		fleet.Surge = o.integer("surge", 0, 4096, 0, false)
		fleet.Retiring = o.integer("retiring", 0, 4096, 0, false)
	}
	o.rejectUnknown()
	return fleet
}

func (c *checker) limits(value any) *Limits {
	o := c.object("/limits", value)
	limits := &Limits{
		HeaderBytes:   int64(o.integer("headBytes", 1, 16<<20, 0, false)),
		BodyBytes:     int64(o.integer("bodyBytes", 1, 1<<30, 0, false)),
		HeaderTimeout: o.milliseconds("headMs", 1, 3600000, 0),
		IdleTimeout:   o.milliseconds("idleMs", 1, 3600000, 0),
	}
	o.rejectUnknown()
	return limits
}

func (c *checker) service(name, path string, value any) *Service {
	o := c.object(path, value)
	service := &Service{Name: ident.Service(name)}
	service.MaxConnections = o.integer("maxConnections", 1, 1<<20, 1, true)
	service.Reserve = o.integer("reserve", 0, 1<<20, 0, false)
	service.RetryBudget = o.integer("furtherShots", 0, 10000, 10, false)
	service.RetryPerMille = o.integer("furtherShare", 0, 1000, 200, false)
	service.OverflowFactor = o.integer("line", 0, 64, 0, false)
	service.Named = o.boolean("named")
	service.Probe = Probe{Slots: 1, Path: "/soundness", Interval: time.Second, Timeout: 500 * time.Millisecond}
	if v, ok := o.lookup("probe"); ok {
		probe := c.object(path+"/probe", v)
		service.Probe.Slots = probe.integer("slots", 1, 4, 1, false)
		service.Probe.Path = probe.text("path", "/soundness", false)
		if !strings.HasPrefix(service.Probe.Path, "/") || strings.ContainsAny(service.Probe.Path, " \r\n") {
			c.addFault(path+"/probe/path", "must start with '/' and hold no blank")
		}
		service.Probe.Interval = probe.milliseconds("everyMs", 100, 60000, 1000)
		service.Probe.Timeout = probe.milliseconds("waitMs", 50, 60000, 500)
		if service.Probe.Timeout > service.Probe.Interval {
			c.addFault(path+"/probe/waitMs", "is %v; must not pass everyMs, %v", service.Probe.Timeout, service.Probe.Interval)
		}
		if _, ok := probe.fields["slots"]; ok && service.Named {
			c.addFault(path+"/probe/slots", "cannot stand beside named: no probe's connection is held")
		}
		probe.rejectUnknown()
	}
	if service.Named {
		service.Probe.Slots = 0
	}
	service.Regions = o.textList("regions", MaxRegions)
	o.rejectUnknown()
	return service
}

func (c *checker) tenant(name, path string, value any) *Tenant {
	o := c.object(path, value)
	tenant := &Tenant{Name: name}
	if v, ok := o.lookup("keyDigests"); ok {
		list, ok := v.([]any)
		if !ok {
			c.addFault(path+"/keyDigests", "must be a list")
		}
		for i, entry := range list {
			digest, ok := entry.(string)
			decoded, err := hex.DecodeString(digest)
			if !ok || err != nil || len(decoded) != 32 || digest != strings.ToLower(digest) {
				c.addFault(fmt.Sprintf("%s/keyDigests/%d", path, i), "must be a SHA-256 digest, 64 small hex digits")
				continue
			}
			tenant.KeyDigests = append(tenant.KeyDigests, digest)
		}
	}
	o.rejectUnknown()
	return tenant
}

func (c *checker) lane(name, path string, value any, state *State) *Lane {
	o := c.object(path, value)
	lane := &Lane{Name: ident.Lane(name)}
	lane.Tenant = o.text("tenant", "", true)
	lane.Service = ident.Service(o.text("service", "", true))
	lane.Slots = o.integer("slots", 1, 1<<16, 1, true)
	lane.Weight = o.integer("weight", 1, 1<<16, lane.Slots, false)
	lane.MaxWaiters = o.integer("waiters", 0, 64, 2, false)
	lane.MaxWait = o.milliseconds("waitMs", 0, 200, 180)
	lane.ConnectTimeout = o.milliseconds("connectMs", 1, 200, 150)
	lane.ResponseTimeout = o.milliseconds("workMs", 1, 3600000, 1000)
	lane.RequestTimeout = o.milliseconds("wholeMs", 1, 3600000, int(math.Max(2000, float64(lane.ResponseTimeout.Milliseconds()+200))))
	lane.AtMostOnce = o.boolean("once")
	if lane.Repeatable = o.boolean("repeatable"); lane.Repeatable && lane.AtMostOnce {
		c.addFault(path+"/repeatable", "cannot stand beside once")
	}
	lane.MaxAttempts = o.integer("shots", 1, 4, 2, false)
	lane.MaxRequestBody = int64(o.integer("bodyBytes", 0, maxLaneBodyBytes, 64<<10, false))
	lane.MaxResponseBody = int64(o.integer("answerBytes", 1, 64<<20, 1<<20, false))
	if lane.Tenant != "" && state.Tenants[lane.Tenant] == nil {
		c.addFault(path+"/tenant", "names %q, which tenants does not hold", lane.Tenant)
	}
	if lane.Service != "" && state.Services[lane.Service] == nil {
		c.addFault(path+"/service", "names %q, which services does not hold", lane.Service)
	}
	if lane.MaxWait > 0 && lane.ConnectTimeout > lane.MaxWait {
		c.addFault(path+"/connectMs", "is %v; must nest in waitMs, %v", lane.ConnectTimeout, lane.MaxWait)
	}
	if lane.ResponseTimeout > lane.RequestTimeout {
		c.addFault(path+"/workMs", "is %v; must nest in wholeMs, %v", lane.ResponseTimeout, lane.RequestTimeout)
	}
	o.rejectUnknown()
	return lane
}

func (s *State) LaneNames() []ident.Lane {
	names := make([]ident.Lane, 0, len(s.Lanes))
	for name := range s.Lanes {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

func (s *State) ServiceNames() []ident.Service {
	names := make([]ident.Service, 0, len(s.Services))
	for name := range s.Services {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// ConnectionsPerSeat returns how many connections one seat may hold to each backend of a service.
func (s *State) ConnectionsPerSeat(name ident.Service) int {
	service := s.Services[name]
	if service == nil {
		return 0
	}
	return (service.MaxConnections - service.Reserve) / s.Seats()
}

// SlotsPerSeat returns the connections that one seat needs at each backend of every service: those of
// its lanes and of the health checks.
func (s *State) SlotsPerSeat() map[ident.Service]int {
	sums := map[ident.Service]int{}
	for name, service := range s.Services {
		sums[name] = service.Probe.Slots
	}
	for _, lane := range s.Lanes {
		sums[lane.Service] += lane.Slots
	}
	return sums
}

// Seats returns the number of seats. In an open fleet it is the most that the capacity of every service
// allows.
func (s *State) Seats() int {
	if !s.Fleet.Open {
		return s.Fleet.Seats()
	}
	seats := MaxSeats
	sums := s.SlotsPerSeat()
	for name, service := range s.Services {
		if sums[name] > 0 {
			seats = min(seats, (service.MaxConnections-service.Reserve)/sums[name])
		}
	}
	return max(0, seats)
}

// checkCapacity reports services whose backends accept fewer connections than all seats may open. The
// fault shows the calculation.
func (c *checker) checkCapacity(state *State) {
	for _, name := range state.ServiceNames() {
		service := state.Services[name]
		sum, text := service.Probe.Slots, fmt.Sprintf("probe %d", service.Probe.Slots)
		for _, laneName := range state.LaneNames() {
			if lane := state.Lanes[laneName]; lane.Service == name {
				sum += lane.Slots
				text += fmt.Sprintf(" + %s %d", laneName, lane.Slots)
			}
		}
		if state.Fleet.Open {
			if sum+service.Reserve > service.MaxConnections {
				c.addFault("/services/"+string(name)+"/maxConnections", "is %d; one seat of an open fleet needs %d slots (%s) + reserve %d = %d", service.MaxConnections, sum, text, service.Reserve, sum+service.Reserve)
			}
			continue
		}
		seats := state.Fleet.Seats()
		if peak := sum*seats + service.Reserve; peak > service.MaxConnections {
			c.addFault("/services/"+string(name)+"/maxConnections", "is %d; the peak is %d seats (nodes %d + surge %d + retiring %d) x %d slots (%s) + reserve %d = %d",
				service.MaxConnections, seats, state.Fleet.Nodes, state.Fleet.Surge, state.Fleet.Retiring, sum, text, service.Reserve, peak)
		}
	}
}

// Read parses and validates a configuration.
func Read(doc []byte) (*State, []Fault) {
	tree, faults := ReadTree(doc)
	if len(faults) > 0 {
		return nil, faults
	}
	state, faults := Validate(tree)
	if len(faults) > 0 {
		return nil, faults
	}
	return state, nil
}
