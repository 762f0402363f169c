package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloeturn/register"
)

// operatorCount is the number of operators that work at the same time.
const operatorCount = 5

// callHistory records the calls of operators and their outcomes; register.Value.Version is the generation.
type callHistory struct {
	fleet        *fleet
	start        time.Time
	mu           sync.Mutex
	calls        []*register.Call
	knownVersion uint64
	lastValue    uint64
}

// changeDocument returns the method and the body of a change.
func (history *callHistory) changeDocument(c *register.Call) (method, document string) {
	if c.Kind == register.Modify {
		return "PATCH", fmt.Sprintf(`{"limits":{"headBytes":%d}}`, c.Value.First)
	}
	limits := fmt.Sprintf(`{"limits": {"headBytes": %d, "bodyBytes": %d},`, c.Value.First, c.Value.Second)
	return "PUT", limits + strings.TrimPrefix(history.fleet.deployment.desired, "{")
}

// callOnce sends a call to one control process. One call in ten has a timeout of at most 30 ms, and one
// answer in eight is discarded, so that their outcomes are unknown.
func (history *callHistory) callOnce(ctx context.Context, c *register.Call, address string) register.Outcome {
	method, document := "GET", ""
	if c.Kind != register.Read {
		method, document = history.changeDocument(c)
	}
	timeout := time.Second
	if rand.Intn(10) == 0 {
		timeout = time.Duration(1+rand.Intn(30)) * time.Millisecond
	}
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(requestCtx, method, "http://"+address+"/desired", strings.NewReader(document))
	if c.Kind != register.Read {
		req.Header.Set("If-Match", fmt.Sprint(c.BaseVersion))
		req.Header.Set("Sloeturn-Change-Id", c.ID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return register.Unknown
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || rand.Intn(8) == 0 {
		return register.Unknown
	}
	generation, _ := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	history.mu.Lock()
	history.knownVersion = max(history.knownVersion, generation)
	history.mu.Unlock()
	switch {
	case resp.StatusCode == 412 || resp.StatusCode == 422:
		return register.Rejected
	case resp.StatusCode != 200:
		return register.Unknown
	case c.Kind != register.Read:
		c.Observed.Version = generation
		return register.Done
	}
	c.Observed = parseLimits(generation, body)
	return register.Done
}

// parseLimits returns the two limits of a desired state that operators change.
func parseLimits(generation uint64, document []byte) register.Value {
	var state struct {
		Limits struct{ HeadBytes, BodyBytes uint64 }
	}
	json.Unmarshal(document, &state)
	return register.Value{Version: generation, First: state.Limits.HeadBytes, Second: state.Limits.BodyBytes}
}

// call records a call and retries it until its outcome is known or the timeout has passed.
func (history *callHistory) call(ctx context.Context, c *register.Call, timeout time.Duration) {
	history.mu.Lock()
	history.calls = append(history.calls, c)
	c.Start = time.Since(history.start)
	history.mu.Unlock()
	attempt := &register.Call{Kind: c.Kind, ID: c.ID, BaseVersion: c.BaseVersion, Value: c.Value}
	outcome, delay := register.Unknown, 50*time.Millisecond
	for outcome == register.Unknown && time.Since(history.start)-c.Start < timeout && ctx.Err() == nil {
		p := history.fleet.controls[rand.Intn(len(history.fleet.controls))]
		if outcome = history.callOnce(ctx, attempt, p.operatorsAddr); outcome == register.Unknown {
			sleep(ctx, delay)
			delay = min(2*delay, 500*time.Millisecond)
		}
	}
	history.mu.Lock()
	c.Outcome, c.Observed, c.End = outcome, attempt.Observed, time.Since(history.start)
	history.mu.Unlock()
}

// nextCall draws an operator's next call: a repeated earlier change, a new change or a read.
func (history *callHistory) nextCall(operator int) *register.Call {
	history.mu.Lock()
	defer history.mu.Unlock()
	switch draw := rand.Intn(10); {
	case draw < 2:
		if earlier := history.calls[rand.Intn(len(history.calls))]; earlier.Kind != register.Read && earlier.ID != "start" {
			return &register.Call{Operator: operator, Kind: earlier.Kind, ID: earlier.ID, BaseVersion: earlier.BaseVersion, Value: earlier.Value}
		}
	case draw < 6:
		history.lastValue++
		c := &register.Call{Operator: operator, Kind: register.Replace, BaseVersion: history.knownVersion, Value: register.Value{Version: history.knownVersion + 1, First: history.lastValue, Second: history.lastValue}}
		if draw == 5 {
			c.Kind, c.Value.Second = register.Modify, 0
		}
		c.ID = fmt.Sprintf("operator-%d-%d-%d", operator, history.lastValue, history.start.UnixNano())
		return c
	}
	return &register.Call{Operator: operator}
}

// concurrentOperators lets several operators change and read the desired state while processes are killed
// and paused, and checks that their history is linearizable.
func (f *fleet) concurrentOperators(ctx context.Context) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	history := &callHistory{fleet: f, start: time.Now(), knownVersion: f.generation, lastValue: 1}
	first := &register.Call{}
	for i := 0; first.Outcome != register.Done && i < 100; i++ {
		first.Outcome = history.callOnce(ctx, first, f.controls[i%len(f.controls)].operatorsAddr)
	}
	if first.Outcome != register.Done {
		return "", fmt.Errorf("no control process answered the first read")
	}
	history.calls = []*register.Call{{Kind: register.Replace, ID: "start", Value: first.Observed, Start: -2, End: -1, Outcome: register.Done}}
	workCtx, cancel := context.WithTimeout(ctx, 24*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i := 0; i < operatorCount; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for sleep(workCtx, time.Duration(20+rand.Intn(400))*time.Millisecond) {
				history.call(ctx, history.nextCall(i), 5*time.Second)
			}
		}()
	}
	disruptions := []func() error{
		func() error { return f.disruptLeader(workCtx, func(p *process) { p.kill() }, (*process).start) },
		func() error { f.nodes[0].kill(); return f.nodes[0].start() },
		func() error {
			resume := func(p *process) error { p.signal(syscall.SIGCONT); return nil }
			return f.disruptLeader(workCtx, func(p *process) { p.signal(syscall.SIGSTOP) }, resume)
		},
		func() error { return f.disruptLeader(workCtx, func(p *process) { p.kill() }, (*process).start) },
	}
	for _, disrupt := range disruptions {
		if sleep(workCtx, 2500*time.Millisecond) {
			if err := disrupt(); err != nil {
				return "", err
			}
		}
	}
	wg.Wait()
	repeated := map[string]bool{}
	unclear := 0
	for _, c := range append([]*register.Call(nil), history.calls...) {
		if c.Kind == register.Read || c.ID == "start" || repeated[c.ID] {
			continue
		}
		repeated[c.ID] = true
		repeat := &register.Call{Operator: operatorCount, Kind: c.Kind, ID: c.ID, BaseVersion: c.BaseVersion, Value: c.Value}
		if history.call(ctx, repeat, 15*time.Second); repeat.Outcome == register.Unknown {
			unclear++
		}
	}
	last := &register.Call{Operator: operatorCount}
	history.call(ctx, last, 15*time.Second)
	var calls []register.Call
	outcomes := map[string]int{}
	for _, c := range history.calls {
		calls = append(calls, *c)
		outcomes[[...]string{"unknown", "done", "rejected"}[c.Outcome]]++
	}
	if unclear > 0 || last.Outcome != register.Done {
		f.executions.violations.report("the outcome of a change stayed unknown after the faults", "%d changes", unclear)
	}
	verdict, text := register.Check(calls, 30*time.Second)
	if verdict != register.Linearizable {
		f.executions.violations.report("history is not linearizable", "%s%s", map[bool]string{true: "not decided: "}[verdict == register.Undecided], text)
	}
	f.generation = last.Observed.Version
	f.load.acknowledgedGeneration.Store(f.generation)
	return fmt.Sprintf("%d calls of operators checked: %s", len(calls), formatCounts(outcomes)), nil
}

// disruptLeader disrupts the leader and repairs it 3 s later.
func (f *fleet) disruptLeader(ctx context.Context, disrupt func(p *process), repair func(p *process) error) error {
	p, err := f.leader()
	if err != nil {
		return nil
	}
	disrupt(p)
	sleep(ctx, 3*time.Second)
	return repair(p)
}
