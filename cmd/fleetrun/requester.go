package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// loadBalancer stands in for the load balancer in front of the nodes: it polls their readiness and
// assigns client connections to ready nodes.
type loadBalancer struct {
	deployment  *deployment
	mu          sync.Mutex
	ready       []string
	nodeAddrs   func() []string
	connections []*clientConnection
	skew        float64  // exponent that makes some connections carry more requests than others
	pausedUntil sync.Map // node address to the time.Time until which it was paused by a fault
}

// wasPaused reports whether the node was paused by a fault at or after the given time.
func (b *loadBalancer) wasPaused(node string, since time.Time) bool {
	until, ok := b.pausedUntil.Load(node)
	return ok && since.Before(until.(time.Time))
}

func newLoadBalancer(spec *deployment, skew float64, nodeAddrs func() []string) *loadBalancer {
	balancer := &loadBalancer{deployment: spec, nodeAddrs: nodeAddrs, skew: skew}
	for i := 0; i < connectionCount; i++ {
		balancer.connections = append(balancer.connections, &clientConnection{client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 16, IdleConnTimeout: 3 * time.Second, DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}}})
	}
	return balancer
}

// pollReadiness refreshes the list of ready nodes once a second until ctx ends.
func (b *loadBalancer) pollReadiness(ctx context.Context) {
	client := http.Client{Timeout: 800 * time.Millisecond}
	for ctx.Err() == nil {
		var mu sync.Mutex
		var wg sync.WaitGroup
		var ready []string
		for _, address := range b.nodeAddrs() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				resp, err := client.Get("http://" + address + "/ready")
				if err != nil {
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == 200 {
					mu.Lock()
					ready = append(ready, address)
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		sort.Strings(ready)
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// clientConnection is a kept-alive connection of a client, assigned to one node for 10 to 39 s.
type clientConnection struct {
	mu            sync.Mutex
	node          string
	assignedUntil time.Time
	client        *http.Client
}

// connectionCount is the number of kept-alive client connections.
const connectionCount = 48

// pickConnection draws a connection and returns it with the address of its node, or with an empty
// address if no node is ready.
func (b *loadBalancer) pickConnection() (*clientConnection, string) {
	index := int(float64(connectionCount) * math.Pow(rand.Float64(), b.skew))
	connection := b.connections[min(index, connectionCount-1)]
	connection.mu.Lock()
	defer connection.mu.Unlock()
	if connection.node == "" || time.Now().After(connection.assignedUntil) {
		b.mu.Lock()
		defer b.mu.Unlock()
		connection.node = ""
		if len(b.ready) > 0 {
			connection.node = b.ready[rand.Intn(len(b.ready))]
			connection.assignedUntil = time.Now().Add(time.Duration(10+rand.Intn(30)) * time.Second)
			connection.client.CloseIdleConnections()
		}
	}
	return connection, connection.node
}

// unassign makes the connection choose another node at the next request.
func (c *clientConnection) unassign() {
	c.mu.Lock()
	c.node = ""
	c.mu.Unlock()
}

func (b *loadBalancer) readyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// tally counts the outcomes of requests and records their latencies.
type tally struct {
	mu                  sync.Mutex
	counts              map[string]int
	reasons             map[string]int
	servedLatencies     []time.Duration
	atMostOnceLatencies []time.Duration
	refusedLatencies    []time.Duration
	laneCounts          map[string][2]int // requests sent and served
	servedAt            []time.Time
	floodedLane         string
	laneLatencies       map[string][]time.Duration
	previousLaneCounts  map[string][2]int // laneCounts at the last call of servedShareSinceLast
}

func (t *tally) addOutcome(lane, outcome, reason string, took time.Duration, atMostOnce bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[outcome]++
	if reason != "" {
		t.reasons[reason]++
	}
	counts := t.laneCounts[lane]
	counts[0]++
	if outcome == "served" {
		counts[1]++
		t.servedLatencies = append(t.servedLatencies, took)
		if t.laneLatencies == nil {
			t.laneLatencies = map[string][]time.Duration{}
		}
		t.laneLatencies[lane] = append(t.laneLatencies[lane], took)
		if atMostOnce {
			t.atMostOnceLatencies = append(t.atMostOnceLatencies, took)
		}
		t.servedAt = append(t.servedAt, time.Now())
	}
	if outcome == "refused" {
		t.refusedLatencies = append(t.refusedLatencies, took)
	}
	t.laneCounts[lane] = counts
}

// quantile returns the q-quantile of the latencies; 1 is their maximum.
func quantile(latencies []time.Duration, q float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), latencies...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(100 * time.Microsecond)
}

// loadGenerator sends the requests of the clients and checks each answer.
type loadGenerator struct {
	deployment             *deployment
	balancer               *loadBalancer
	executions             *executionLog
	tally                  *tally
	rateScale              float64
	acknowledgedGeneration atomic.Uint64 // no answer may carry an older version than this
	nextID                 atomic.Uint64
	activeFaults           atomic.Int32 // while it is 0, no answer may be lost
	maxRefusalTime         time.Duration
}

// run sends requests to each lane at random intervals with the lane's mean rate until ctx ends.
func (g *loadGenerator) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, lane := range g.deployment.lanes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			random := rand.New(rand.NewSource(int64(len(lane.name)) + time.Now().UnixNano()))
			next := time.Now()
			for ctx.Err() == nil {
				next = next.Add(time.Duration(random.ExpFloat64() / (lane.requestsPerSecond * g.rateScale) * float64(time.Second)))
				if delay := time.Until(next); delay > 0 {
					select {
					case <-ctx.Done():
						return
					case <-time.After(delay):
					}
				}
				wg.Add(1)
				retry := random.Intn(4) == 0
				leave := random.Intn(200) == 0
				go func() {
					defer wg.Done()
					g.sendWithRetries(lane, retry, leave)
				}()
			}
		}()
	}
	wg.Wait()
}

// servedShareSinceLast returns the share of requests served since its last call, without the flooded lane.
func (t *tally) servedShareSinceLast() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, served := 0, 0
	for lane, counts := range t.laneCounts {
		if lane != t.floodedLane {
			sent, served = sent+counts[0]-t.previousLaneCounts[lane][0], served+counts[1]-t.previousLaneCounts[lane][1]
		}
	}
	t.previousLaneCounts = map[string][2]int{}
	for lane, counts := range t.laneCounts {
		t.previousLaneCounts[lane] = counts
	}
	return float64(served) / float64(max(1, sent))
}

// flood sends additional requests to one lane until ctx ends.
func (g *loadGenerator) flood(ctx context.Context, lane laneSpec, rate float64) {
	g.tally.mu.Lock()
	g.tally.floodedLane = lane.name
	g.tally.mu.Unlock()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(float64(time.Second) / rate))
			go g.sendWithRetries(lane, false, false)
		}
	}()
}

// sendWithRetries sends a request and may retry it. A request that was executed on an at-most-once
// lane is now and then sent again with the same key, which must not execute it a second time.
func (g *loadGenerator) sendWithRetries(lane laneSpec, retry, leave bool) {
	key := ""
	if lane.atMostOnce {
		key = fmt.Sprintf("k-%d-%d", time.Now().UnixNano(), g.nextID.Add(1))
	}
	ran := g.sendAttempt(lane, key, leave)
	if retry && ran != "yes" {
		g.sendAttempt(lane, key, false)
	}
	if lane.atMostOnce && ran == "yes" && rand.Intn(50) == 0 {
		g.sendAttempt(lane, key, false)
	}
}

// sendAttempt sends one attempt of a request, checks the answer and returns whether the request was
// executed: "yes", "no" or "unknown" as the node says, "?" without an answer, "" if nothing was sent.
// With leave the client closes the connection after 20 ms.
func (g *loadGenerator) sendAttempt(lane laneSpec, key string, leave bool) string {
	connection, node := g.balancer.pickConnection()
	if node == "" {
		g.tally.addOutcome(lane.name, "no node ready", "", 0, false)
		return ""
	}
	nonce := strconv.FormatUint(g.nextID.Add(1), 36)
	body := ""
	if lane.method == "POST" {
		body = fmt.Sprintf(`{"amount":%s,"note":"%s"}`, strconv.Itoa(rand.Intn(900)+1), nonce)
		if key != "" {
			body = `{"key":"` + key + `"}`
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lane.expiry+2*time.Second)
	if leave {
		ctx, cancel = context.WithTimeout(context.Background(), 20*time.Millisecond)
	}
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, lane.method, "http://"+node+"/lanes/"+lane.name+lane.path, bytes.NewReader([]byte(body)))
	req.Header.Set("Sloeturn-Expiry-Ms", strconv.FormatInt(lane.expiry.Milliseconds(), 10))
	req.Header.Set("X-Nonce", nonce)
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	acknowledged := g.acknowledgedGeneration.Load()
	start := time.Now()
	resp, err := connection.client.Do(req)
	if err != nil {
		connection.unassign()
		outcome := "connection failed"
		if leave {
			outcome = "client left"
		}
		g.tally.addOutcome(lane.name, outcome, "", time.Since(start), false)
		return "?"
	}
	answer, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	took := time.Since(start)
	if resp.Close {
		connection.unassign()
	}
	if err != nil {
		g.tally.addOutcome(lane.name, "connection failed", "", took, false)
		return "?"
	}
	ran := resp.Header.Get("Sloeturn-Ran")
	generation, _ := strconv.ParseUint(resp.Header.Get("Sloeturn-Generation"), 10, 64)
	if generation < acknowledged {
		g.executions.violations.report("older generation served", "node %s answered with generation %d after %d was acknowledged", node, generation, acknowledged)
	}
	if ran == "yes" && resp.StatusCode < 300 {
		var result struct{ Nonce, Sum string }
		if json.Unmarshal(answer, &result) != nil || result.Nonce != nonce || result.Sum != digest(nonce, body) {
			g.executions.violations.report("corrupted answer passed as complete", "lane %s: %.80q", lane.name, answer)
		}
		g.tally.addOutcome(lane.name, "served", "", took, lane.atMostOnce)
		return ran
	}
	var refusal struct{ Visit, Reason string }
	json.Unmarshal(answer, &refusal)
	switch {
	case resp.StatusCode == 503 && ran == "no":
		if resp.Header.Get("Retry-After") == "" {
			g.executions.violations.report("refusal without Retry-After", "%s", refusal.Reason)
		}
		if g.executions.executed(refusal.Visit) {
			g.executions.violations.report("reported as not executed, but it was", "request %s: %s", refusal.Visit, refusal.Reason)
		}
		if g.balancer.wasPaused(node, start) {
			g.tally.addOutcome(lane.name, "refused by a node that was paused", refusal.Reason, took, false)
			return ran
		}
		if took > g.maxRefusalTime {
			g.executions.violations.report("refusal too late", "%v for %s on lane %s", took, refusal.Reason, lane.name)
		}
		g.tally.addOutcome(lane.name, "refused", refusal.Reason, took, false)
	case ran == "unknown" && (resp.StatusCode == 502 || resp.StatusCode == 504):
		if resp.Header.Get("Retry-After") != "" {
			g.executions.violations.report("unknown outcome with Retry-After", "%s", refusal.Reason)
		}
		if g.activeFaults.Load() == 0 {
			g.executions.violations.report("answer lost without an active fault", "request %s: %s", refusal.Visit, refusal.Reason)
		}
		g.tally.addOutcome(lane.name, "unknown", refusal.Reason, took, false)
	default:
		g.tally.addOutcome(lane.name, "status "+strconv.Itoa(resp.StatusCode)+" ran "+ran, refusal.Reason, took, false)
	}
	return ran
}
