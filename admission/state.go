// Package admission is admission control: connection pools for each lane and backend, bounded queues, and the
// choice of a backend by its latency and load.
package admission

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/gammazero/deque"

	"sloeturn/ident"
	"sloeturn/ledger"
)

// Reason is why a request was refused.
type Reason string

const (
	LaneFull          Reason = "lane full"
	NoBackend         Reason = "no backend ready"
	WaitExpired       Reason = "waited out"
	NoConnectionLimit Reason = "no fence yet" // the lane has no connections at the service
	QueueFull         Reason = "waiting places full"

	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout = 2 * time.Second
	// ProbeLane is the lane of the connections that probe backends.
	ProbeLane = ident.Lane("")
	MaxWait   = 200 * time.Millisecond
)

// Backend is a backend as this node may use it.
type Backend struct {
	Addr        ident.Addr
	Service     ident.Service
	Incarnation string
	Cell        ident.Cell
	Share       int  // slots of the backend that are this node's
	Overflow    int  // requests beyond the share that this node may send it, to queue there
	Slots       int  // slots that the backend offers to all nodes
	SameCell    bool // it is in this node's cell
	Ejected     bool // it isn't chosen, after a failure or before a probe has proven it
}

// Key identifies a connection pool.
type Key struct {
	Lane ident.Lane
	Addr ident.Addr
}

// Pool counts the connections of a lane to a backend. Closing ones count until the executor reports their end.
type Pool struct {
	Service ident.Service
	Limit   int
	Busy    int
	Idle    int
	Closing int
}

// Held counts all connections that are open or may be.
func (p *Pool) Held() int { return p.Busy + p.Idle + p.Closing }

// LaneRule is the configuration of a lane: the bound of its queue and its weight among the lanes of its service.
type LaneRule struct {
	Lane    ident.Lane
	Service ident.Service
	Waiters int
	Weight  int
}

// waiter is a queued request, the time until which it waits and the backends that it must not be sent to.
type waiter struct {
	request  ident.RequestID
	deadline ident.Moment
	skip     map[ident.Addr]bool
}

// laneState is the configuration, the usage and the queue of a lane.
type laneState struct {
	LaneRule
	share      int // its part, by weight, of what this node may send to the service
	busy       int
	peak       int     // most requests, queued ones included, since the last TakeDemand
	recentPeak float64 // decaying maximum of peak
	queue      deque.Deque[waiter]
}

// Grant admits a request on a connection to a backend; Reuse tells that it is an idle one.
type Grant struct {
	Request ident.RequestID
	Lane    ident.Lane
	Backend Backend
	Reuse   bool
}

// Refusal turns a request down.
type Refusal struct {
	Request ident.RequestID
	Reason  Reason
}

// Close has idle connections of a pool closed.
type Close struct {
	Key   Key
	Count int
}

// Effects is what is to be done since the last Flush.
type Effects struct {
	Grants   []Grant
	Refusals []Refusal
	Closes   []Close
}

// State is the state of admission. It isn't safe for concurrent use. The effects of its methods are
// taken with Flush.
type State struct {
	Salt      string
	pools     map[Key]*Pool
	lanes     map[ident.Lane]*laneState
	limits    map[ledger.LaneKey]int
	backends  map[ident.Addr]*Backend
	byService map[ident.Service][]*Backend
	load      map[ident.Addr]int
	peak      map[ident.Service]int
	refusals  map[ident.Service]int
	rotation  int
	latencies map[ident.Addr]*latencyEstimate
	baselines map[string]*baseline
	effects   Effects
	Admitted  uint64
	Refused   uint64
}

func New() *State {
	return &State{pools: map[Key]*Pool{}, lanes: map[ident.Lane]*laneState{}, limits: map[ledger.LaneKey]int{}, backends: map[ident.Addr]*Backend{}, byService: map[ident.Service][]*Backend{}, load: map[ident.Addr]int{}, peak: map[ident.Service]int{}, refusals: map[ident.Service]int{}, latencies: map[ident.Addr]*latencyEstimate{}, baselines: map[string]*baseline{}}
}

// SetRules takes over the configuration of the lanes and the connection limit of each. The queues of
// lanes that are gone are refused; such a lane is removed by a later call, once it has no requests.
func (s *State) SetRules(rules []LaneRule, limits map[ledger.LaneKey]int) {
	s.limits = limits
	keep := map[ident.Lane]bool{}
	for _, rule := range rules {
		keep[rule.Lane] = true
		lane := s.lanes[rule.Lane]
		if lane == nil {
			lane = &laneState{}
			s.lanes[rule.Lane] = lane
		}
		lane.LaneRule = rule
	}
	for _, name := range s.laneNames() {
		lane := s.lanes[name]
		if keep[name] {
			continue
		}
		for lane.queue.Len() > 0 {
			s.refuse(lane.queue.PopFront().request, lane, NoBackend)
		}
		if lane.busy == 0 {
			delete(s.lanes, name)
		} else {
			lane.Weight = 0
		}
	}
	for _, key := range s.poolKeys() {
		pool := s.pools[key]
		pool.Limit = s.connectionLimit(key.Lane, pool.Service)
		s.closeExcessIdle(key, pool)
	}
	s.divideCapacity()
}

func (s *State) poolKeys() []Key {
	out := make([]Key, 0, len(s.pools))
	for k := range s.pools {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Lane < out[j].Lane || out[i].Lane == out[j].Lane && out[i].Addr < out[j].Addr
	})
	return out
}

// connectionLimit is the number of connections that a lane may have to each backend of a service.
func (s *State) connectionLimit(lane ident.Lane, service ident.Service) int {
	return s.limits[ledger.LaneKey{Lane: lane, Service: service}]
}

// closeExcessIdle closes the idle connections of a pool that are above its limit, or all if the backend
// is gone or belongs to another service.
func (s *State) closeExcessIdle(key Key, pool *Pool) {
	excess := min(pool.Idle, max(0, pool.Busy+pool.Idle-pool.Limit))
	if backend := s.backends[key.Addr]; backend == nil || backend.Service != pool.Service {
		excess = pool.Idle
	}
	if excess > 0 {
		pool.Idle -= excess
		pool.Closing += excess
		s.effects.Closes = append(s.effects.Closes, Close{key, excess})
	}
	if pool.Held() == 0 {
		delete(s.pools, key)
	}
}

// SetBackends takes the list of backends over and serves the queues from it.
func (s *State) SetBackends(list []Backend) {
	s.backends = map[ident.Addr]*Backend{}
	s.byService = map[ident.Service][]*Backend{}
	for i := range list {
		b := list[i]
		s.backends[b.Addr] = &b
		s.byService[b.Service] = append(s.byService[b.Service], &b)
	}
	for a, estimate := range s.latencies {
		if b := s.backends[a]; b == nil || b.Incarnation != estimate.incarnation {
			delete(s.latencies, a)
		}
	}
	for _, k := range s.poolKeys() {
		s.closeExcessIdle(k, s.pools[k])
	}
	s.divideCapacity()
	s.serveQueues()
}

// Eject keeps a backend from being chosen until it is reinstated.
func (s *State) Eject(a ident.Addr) {
	if b := s.backends[a]; b != nil {
		b.Ejected = true
	}
}

// Reinstate lets an ejected backend be chosen again.
func (s *State) Reinstate(a ident.Addr) {
	if b := s.backends[a]; b != nil {
		b.Ejected = false
	}
}

// Backend returns a backend, or nil.
func (s *State) Backend(a ident.Addr) *Backend { return s.backends[a] }

// divideCapacity gives each lane its share, at least 1, of what this node may send to the service. The
// remainders go to the largest fractions; Salt lets nodes break ties differently.
func (s *State) divideCapacity() {
	lanesByService := map[ident.Service][]*laneState{}
	for _, n := range s.laneNames() {
		lane := s.lanes[n]
		lane.share = 0
		if lane.Weight > 0 {
			lanesByService[lane.Service] = append(lanesByService[lane.Service], lane)
		}
	}
	for service, list := range lanesByService {
		totalSlots, totalWeight := 0, 0
		for _, b := range s.byService[service] {
			totalSlots += b.Share + b.Overflow
		}
		for _, lane := range list {
			totalWeight += lane.Weight
		}
		if totalSlots == 0 {
			continue
		}
		remaining := totalSlots
		for _, lane := range list {
			lane.share = totalSlots * lane.Weight / totalWeight
			remaining -= lane.share
		}
		sort.SliceStable(list, func(i, j int) bool {
			a, b := totalSlots*list[i].Weight%totalWeight, totalSlots*list[j].Weight%totalWeight
			return a > b || a == b && ident.Hash(s.Salt, string(list[i].Lane)) > ident.Hash(s.Salt, string(list[j].Lane))
		})
		for i := 0; i < remaining; i++ {
			list[i].share++
		}
		for _, lane := range list {
			lane.share = max(1, lane.share)
		}
	}
}

func (s *State) pool(k Key, service ident.Service) *Pool {
	p := s.pools[k]
	if p == nil {
		p = &Pool{Service: service, Limit: s.connectionLimit(k.Lane, service)}
		s.pools[k] = p
	}
	return p
}

// hasSpareCapacity tells whether a lane may exceed its share: one place more would still leave each
// other lane of the service the part of its share that it used lately, and one place to grow.
func (s *State) hasSpareCapacity(lane *laneState) bool {
	free := 0
	for _, b := range s.byService[lane.Service] {
		free += max(0, b.Share+b.Overflow-s.load[b.Addr])
	}
	free--
	for _, other := range s.lanes {
		if other != lane && other.Service == lane.Service {
			free -= max(0, min(other.share, int(math.Ceil(other.recentPeak))+1)-other.busy)
		}
	}
	return free >= 0
}

// chooseBackend returns the cheapest backend with a free slot and a connection for the lane, or why
// there is none. skip has the backends that the request must not be sent to.
func (s *State) chooseBackend(lane *laneState, skip map[ident.Addr]bool) (*Backend, Reason) {
	if s.connectionLimit(lane.Lane, lane.Service) == 0 {
		return nil, NoConnectionLimit
	}
	if !slices.ContainsFunc(s.byService[lane.Service], func(backend *Backend) bool { return !skip[backend.Addr] }) {
		return nil, NoBackend
	}
	if lane.busy >= lane.share && !s.hasSpareCapacity(lane) {
		return nil, LaneFull
	}
	var best *Backend
	leastCost := 0.0
	reason := NoBackend
	list := s.byService[lane.Service]
	s.rotation++
	for i := range list {
		backend := list[(i+s.rotation)%len(list)]
		capacity := backend.Share + backend.Overflow
		if capacity == 0 || skip[backend.Addr] {
			continue
		}
		pool := s.pools[Key{lane.Lane, backend.Addr}]
		idle, busy := 0, 0
		if pool != nil {
			idle, busy = pool.Idle, pool.Busy+pool.Closing
			if pool.Service != backend.Service {
				continue
			}
		}
		if backend.Ejected {
			continue
		}
		reason = LaneFull
		if s.load[backend.Addr] >= capacity || idle == 0 && busy >= s.connectionLimit(lane.Lane, lane.Service) {
			continue
		}
		cost := s.cost(backend, capacity, idle > 0)
		if best == nil || cost < leastCost {
			best, leastCost = backend, cost
		}
	}
	return best, reason
}

func (s *State) grant(lane *laneState, id ident.RequestID, backend *Backend) {
	pool := s.pool(Key{lane.Lane, backend.Addr}, backend.Service)
	g := Grant{Request: id, Lane: lane.Lane, Backend: *backend}
	if pool.Idle > 0 {
		pool.Idle--
		g.Reuse = true
	}
	pool.Busy++
	lane.busy++
	s.load[backend.Addr]++
	s.Admitted++
	s.recordPeak(lane)
	s.effects.Grants = append(s.effects.Grants, g)
}

func (s *State) refuse(id ident.RequestID, lane *laneState, reason Reason) {
	s.Refused++
	if lane != nil {
		s.refusals[lane.Service]++
	}
	s.effects.Refusals = append(s.effects.Refusals, Refusal{id, reason})
}

// Acquire asks for a slot for a request: it is granted or refused at once, or queued until the given
// time. Requests that are queued already go first.
func (s *State) Acquire(id ident.RequestID, laneName ident.Lane, until ident.Moment, skip map[ident.Addr]bool, now ident.Moment) {
	lane := s.lanes[laneName]
	if lane == nil {
		s.refuse(id, nil, NoBackend)
		return
	}
	if lane.queue.Len() == 0 {
		backend, reason := s.chooseBackend(lane, skip)
		if backend != nil {
			s.grant(lane, id, backend)
			return
		}
		if reason != LaneFull || !until.After(now) {
			s.refuse(id, lane, reason)
			return
		}
	}
	if lane.queue.Len() >= lane.Waiters || !until.After(now) {
		s.refuse(id, lane, QueueFull)
		return
	}
	lane.queue.PushBack(waiter{id, until, skip})
	s.recordPeak(lane)
}

// recordPeak notes the number of requests of a lane and of its service, queued ones included.
func (s *State) recordPeak(lane *laneState) {
	lane.peak = max(lane.peak, lane.busy+lane.queue.Len())
	requests := 0
	for _, other := range s.lanes {
		if other.Service == lane.Service {
			requests += other.busy + other.queue.Len()
		}
	}
	s.peak[lane.Service] = max(s.peak[lane.Service], requests)
}

// TakeDemand returns how many slots of a service this node has needed since the last call: the most
// requests at one time, and a fifth of the refusals.
func (s *State) TakeDemand(service ident.Service) float64 {
	demand := float64(s.peak[service]) + float64(s.refusals[service])/5
	for _, lane := range s.lanes {
		if lane.Service == service {
			lane.recentPeak, lane.peak = max(float64(lane.peak), 0.9*lane.recentPeak), lane.busy
		}
	}
	delete(s.peak, service)
	delete(s.refusals, service)
	return demand
}

// serveQueues grants slots to queued requests in their order. A request that waits for the only
// backends left to it doesn't keep those behind it from others.
func (s *State) serveQueues() {
	for _, n := range s.laneNames() {
		lane := s.lanes[n]
		for i := 0; i < lane.queue.Len(); {
			w := lane.queue.At(i)
			backend, reason := s.chooseBackend(lane, w.skip)
			switch {
			case backend != nil:
				lane.queue.Remove(i)
				s.grant(lane, w.request, backend)
			case reason != LaneFull:
				lane.queue.Remove(i)
				s.refuse(w.request, lane, reason)
			case len(w.skip) == 0:
				i = lane.queue.Len()
			default:
				i++
			}
		}
	}
}

func (s *State) laneNames() []ident.Lane {
	out := make([]ident.Lane, 0, len(s.lanes))
	for n := range s.lanes {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// CancelWait takes a request out of its queue.
func (s *State) CancelWait(id ident.RequestID, laneName ident.Lane) {
	lane := s.lanes[laneName]
	if lane == nil {
		return
	}
	for i := 0; i < lane.queue.Len(); i++ {
		if lane.queue.At(i).request == id {
			lane.queue.Remove(i)
			return
		}
	}
}

// Release ends a grant. With keep its connection becomes idle, else it is closed already.
func (s *State) Release(key Key, keep bool) {
	pool := s.pools[key]
	if pool == nil || pool.Busy == 0 {
		return
	}
	pool.Busy--
	if lane := s.lanes[key.Lane]; lane != nil {
		lane.busy--
	}
	if s.load[key.Addr]--; s.load[key.Addr] <= 0 {
		delete(s.load, key.Addr)
	}
	if keep {
		pool.Idle++
	}
	s.closeExcessIdle(key, pool)
	s.serveQueues()
}

// IdleClosed records that a connection that was idle or closing has ended.
func (s *State) IdleClosed(key Key) {
	pool := s.pools[key]
	if pool == nil {
		return
	}
	if pool.Closing > 0 {
		pool.Closing--
	} else if pool.Idle > 0 {
		pool.Idle--
	}
	s.closeExcessIdle(key, pool)
	s.serveQueues()
}

// Tick refuses the requests whose wait has expired.
func (s *State) Tick(now ident.Moment) {
	for _, n := range s.laneNames() {
		lane := s.lanes[n]
		for i := 0; i < lane.queue.Len(); {
			if w := lane.queue.At(i); w.deadline.After(now) {
				i++
			} else {
				lane.queue.Remove(i)
				s.refuse(w.request, lane, WaitExpired)
			}
		}
	}
}

// WithinLimits tells whether every pool keeps its connection limit.
func (s *State) WithinLimits() bool {
	for k, p := range s.pools {
		if p.Held() > s.connectionLimit(k.Lane, p.Service) {
			return false
		}
	}
	return true
}

// Held counts the connections of all pools.
func (s *State) Held() int {
	n := 0
	for _, p := range s.pools {
		n += p.Held()
	}
	return n
}

// PoolStatus is a pool as operators are shown it.
type PoolStatus struct {
	Lane    ident.Lane
	Addr    ident.Addr
	Service ident.Service
	Cap     int
	Busy    int
	Idle    int
}

// PoolStatuses returns the pools by lane and address.
func (s *State) PoolStatuses() []PoolStatus {
	var out []PoolStatus
	for k, p := range s.pools {
		out = append(out, PoolStatus{k.Lane, k.Addr, p.Service, p.Limit, p.Busy, p.Idle})
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Lane < out[j].Lane || out[i].Lane == out[j].Lane && out[i].Addr < out[j].Addr
	})
	return out
}

// LaneStatus is a lane as operators are shown it. Most is its share.
type LaneStatus struct {
	Lane  ident.Lane
	Most  int
	Busy  int
	Queue int
}

// LaneStatuses returns the lanes by name.
func (s *State) LaneStatuses() []LaneStatus {
	var out []LaneStatus
	for _, n := range s.laneNames() {
		lane := s.lanes[n]
		out = append(out, LaneStatus{n, lane.share, lane.busy, lane.queue.Len()})
	}
	return out
}

// Flush returns the effects since the last call.
func (s *State) Flush() Effects {
	o := s.effects
	s.effects = Effects{}
	return o
}

// Reserve takes a connection out of a pool without a grant, as for a probe; false if the pool is full.
func (s *State) Reserve(key Key, service ident.Service) bool {
	pool := s.pool(key, service)
	if pool.Service != service || pool.Held() >= pool.Limit {
		if pool.Held() == 0 {
			delete(s.pools, key)
		}
		return false
	}
	pool.Busy++
	return true
}

// Unreserve gives a reserved connection back, closed.
func (s *State) Unreserve(key Key) {
	pool := s.pools[key]
	if pool == nil || pool.Busy == 0 {
		return
	}
	pool.Busy--
	s.closeExcessIdle(key, pool)
}

// Waiting returns the number of queued requests of a lane.
func (s *State) Waiting(lane ident.Lane) int {
	if state := s.lanes[lane]; state != nil {
		return state.queue.Len()
	}
	return 0
}
