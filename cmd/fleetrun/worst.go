package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// contactTimeout is the time after a disruption in which the voters regain contact.
	contactTimeout = 3 * time.Second
	// maxAcknowledgeTime limits the time in which an undisturbed control plane acknowledges a change.
	maxAcknowledgeTime = 4 * time.Second
	requestTimeout     = time.Second
)

// controlProbe sends one change after another and reads at the same time, at one control process after
// another, including those that are down.
type controlProbe struct {
	fleet              *fleet
	mu                 sync.Mutex
	addresses          []string
	knownGeneration    uint64
	acknowledged       int
	readCount          int
	slowestChange      time.Duration
	slowestUndisturbed time.Duration
	disruptedAt        time.Time
}

func (f *fleet) newControlProbe() *controlProbe {
	probe := &controlProbe{fleet: f, knownGeneration: f.generation, disruptedAt: time.Now()}
	probe.refreshAddresses()
	return probe
}

// refreshAddresses adopts the current addresses of the control processes.
func (probe *controlProbe) refreshAddresses() {
	probe.mu.Lock()
	defer probe.mu.Unlock()
	probe.addresses = nil
	for _, p := range probe.fleet.controls {
		probe.addresses = append(probe.addresses, p.operatorsAddr)
	}
}

// noteDisruption records that a control process stopped or started just now.
func (probe *controlProbe) noteDisruption() {
	probe.refreshAddresses()
	probe.mu.Lock()
	probe.disruptedAt = time.Now()
	probe.mu.Unlock()
}

func (probe *controlProbe) address(i int) string {
	probe.mu.Lock()
	defer probe.mu.Unlock()
	return probe.addresses[i%len(probe.addresses)]
}

// request sends one read or change and returns the status, 0 without an answer, and the generation.
func (probe *controlProbe) request(ctx context.Context, method, address, document, changeID string, base uint64) (status int, generation uint64) {
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(requestCtx, method, "http://"+address+"/desired", strings.NewReader(document))
	if method != "GET" {
		req.Header.Set("If-Match", fmt.Sprint(base))
		req.Header.Set("Sloeturn-Change-Id", changeID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var answer struct{ Generation uint64 }
	json.NewDecoder(resp.Body).Decode(&answer)
	if etag, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64); err == nil {
		answer.Generation = etag
	}
	return resp.StatusCode, answer.Generation
}

func (probe *controlProbe) raiseKnownGeneration(generation uint64) {
	probe.mu.Lock()
	defer probe.mu.Unlock()
	probe.knownGeneration = max(probe.knownGeneration, generation)
}

// changeUntilAcknowledged sends one change until it is acknowledged. Nobody else changes the desired state,
// so the change must not be refused, neither as conflicting nor as invalid.
func (probe *controlProbe) changeUntilAcknowledged(ctx context.Context) bool {
	f, changeID, start := probe.fleet, fmt.Sprint("order-", time.Now().UnixNano()), time.Now()
	for i := rand.Intn(16); ctx.Err() == nil; i++ {
		status, generation := probe.request(ctx, "PATCH", probe.address(i), `{"fleet":{"retiring":1}}`, changeID, f.generation)
		if status == 200 {
			f.generation = generation
			f.load.acknowledgedGeneration.Store(generation)
			probe.raiseKnownGeneration(generation)
			probe.mu.Lock()
			probe.acknowledged++
			probe.slowestChange = max(probe.slowestChange, time.Since(start))
			undisturbedSince := start
			if recovered := probe.disruptedAt.Add(contactTimeout); recovered.After(undisturbedSince) {
				undisturbedSince = recovered
			}
			probe.slowestUndisturbed = max(probe.slowestUndisturbed, time.Since(undisturbedSince))
			probe.mu.Unlock()
			if time.Since(undisturbedSince) > maxAcknowledgeTime {
				f.executions.violations.report("a change was not acknowledged in time", "%s after %v, %v of it without a disruption", changeID, time.Since(start), time.Since(undisturbedSince))
			}
			return true
		}
		if status == 412 || status == 422 {
			f.executions.violations.report("a valid change was refused", "%s on generation %d: status %d, generation %d", changeID, f.generation, status, generation)
			f.generation = max(f.generation, generation)
			return false
		}
		sleep(ctx, time.Duration(20+rand.Intn(80))*time.Millisecond)
	}
	return false
}

// checkRead reads once; the answer must not be older than any earlier one.
func (probe *controlProbe) checkRead(ctx context.Context, i int) {
	probe.mu.Lock()
	known := probe.knownGeneration
	probe.mu.Unlock()
	if status, generation := probe.request(ctx, "GET", probe.address(i), "", "", 0); status == 200 {
		if generation < known {
			probe.fleet.executions.violations.report("a read returned an older generation", "%d, after %d was known", generation, known)
		}
		probe.raiseKnownGeneration(generation)
		probe.mu.Lock()
		probe.readCount++
		probe.mu.Unlock()
	}
}

// start sends changes and reads until stop is called, which returns a summary.
func (probe *controlProbe) start(ctx context.Context, minPause, maxPause time.Duration) (stop func() string) {
	probe.fleet.mu.Lock()
	probeCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		for probeCtx.Err() == nil {
			probe.changeUntilAcknowledged(ctx)
			sleep(probeCtx, minPause+time.Duration(rand.Int63n(int64(maxPause-minPause))))
		}
	}()
	go func() {
		defer wg.Done()
		for i := 0; sleep(probeCtx, 100*time.Millisecond); i++ {
			probe.checkRead(probeCtx, rand.Intn(16))
		}
	}()
	return func() string {
		cancel()
		wg.Wait()
		probe.fleet.mu.Unlock()
		return fmt.Sprintf("%d changes acknowledged, slowest %v, longest without a disruption %v, %d reads", probe.acknowledged, probe.slowestChange.Round(time.Millisecond), probe.slowestUndisturbed.Round(time.Millisecond), probe.readCount)
	}
}

// joinArgs replaces --founders by --joins, so that the control process joins the fleet and never forms one.
func joinArgs(args []string) []string {
	from := slices.Index(args, "--founders")
	if from < 0 {
		return args
	}
	to := from + 1
	for to < len(args) && !strings.HasPrefix(args[to], "--") {
		to++
	}
	return append(append(slices.Clone(args[:from]), "--joins"), args[to:]...)
}

// replaceWithEmpty starts a control process with an empty disk at a new address in the place of another.
func (f *fleet) replaceWithEmpty(old *process) (*process, error) {
	var seeds []string
	for _, p := range f.controls {
		if p != old && len(seeds) < 3 {
			seeds = append(seeds, p.memberAddr)
		}
	}
	f.replacements++
	fresh := f.newControlProcess(f.deployment.controlCount+20+f.replacements, seeds)
	fresh.args = joinArgs(fresh.args)
	f.controls[slices.Index(f.controls, old)] = fresh
	return fresh, fresh.start()
}

// restartWiped starts a stopped control process again with an empty disk.
func (f *fleet) restartWiped(p *process) error {
	if err := os.RemoveAll(p.diskDir); err != nil {
		return err
	}
	p.args = joinArgs(p.args)
	return p.start()
}

// loseOneByOne loses one control process after another, every other time the leader. Each has been back, or
// has had an empty one in its place, for catchUpTime before the next one is lost.
func (f *fleet) loseOneByOne(ctx context.Context, probe *controlProbe, count int, lose func(i int, p *process) (string, error)) (string, error) {
	var losses []string
	for i := 0; i < count && ctx.Err() == nil; i++ {
		p := f.controls[i%len(f.controls)]
		if leader, err := f.leader(); err == nil && i%2 == 0 {
			p = leader
		}
		probe.noteDisruption()
		note, err := lose(i, p)
		if err != nil {
			return "", err
		}
		probe.noteDisruption()
		losses = append(losses, note)
		sleep(ctx, f.catchUpTime)
	}
	return strings.Join(losses, ", "), nil
}

// loseControl loses a control process and restores it in one of four ways, which follow each other.
func (f *fleet) loseControl(i int, p *process) (string, error) {
	switch i % 4 {
	case 0:
		p.kill()
		fresh, err := f.replaceWithEmpty(p)
		return fmt.Sprintf("%s replaced by %s", p.name, fresh.name), err
	case 1:
		p.kill()
		return p.name + " wiped", f.restartWiped(p)
	case 2:
		p.terminate(10 * time.Second)
		fresh, err := f.replaceWithEmpty(p)
		return fmt.Sprintf("%s stopped gracefully, replaced by %s", p.name, fresh.name), err
	}
	p.kill()
	return p.name + " killed", p.start()
}

// checkCaughtUp checks that every control process reaches the acknowledged generation within catchUpTime.
func (f *fleet) checkCaughtUp(ctx context.Context) {
	client := http.Client{Timeout: requestTimeout}
	for _, p := range f.controls {
		last, deadline := uint64(0), time.Now().Add(f.catchUpTime)
		for last < f.generation && time.Now().Before(deadline) && ctx.Err() == nil {
			if resp, err := client.Get("http://" + p.operatorsAddr + "/fleet"); err == nil {
				var status struct{ Generation uint64 }
				json.NewDecoder(resp.Body).Decode(&status)
				resp.Body.Close()
				last = status.Generation
			}
			sleep(ctx, 50*time.Millisecond)
		}
		if last < f.generation && ctx.Err() == nil {
			f.executions.violations.report("a member did not catch up", "%s is at generation %d, acknowledged %d", p.name, last, f.generation)
		}
	}
}

func init() {
	faults["second-loss"] = fault{true, func(ctx context.Context, f *fleet) (string, error) {
		probe := f.newControlProbe()
		stop := probe.start(ctx, 100*time.Millisecond, 600*time.Millisecond)
		note, err := f.loseOneByOne(ctx, probe, 8, f.loseControl)
		summary := stop()
		if err != nil {
			return "", err
		}
		f.checkCaughtUp(ctx)
		return f.awaitRecovery(ctx, note+"; "+summary)
	}}
	faults["stop-leader"] = fault{true, func(ctx context.Context, f *fleet) (string, error) {
		probe := f.newControlProbe()
		stop := probe.start(ctx, 100*time.Millisecond, 600*time.Millisecond)
		var leaders []string
		for i := 0; i < 2 && ctx.Err() == nil; i++ {
			p, err := f.leader()
			if err != nil {
				stop()
				return "", err
			}
			probe.noteDisruption()
			p.signal(syscall.SIGSTOP)
			sleep(ctx, 20*time.Second)
			p.signal(syscall.SIGCONT)
			probe.noteDisruption()
			leaders = append(leaders, p.name)
			sleep(ctx, f.catchUpTime)
		}
		summary := stop()
		f.checkCaughtUp(ctx)
		return f.awaitRecovery(ctx, strings.Join(leaders, " and ")+" paused for 20 s as leader; "+summary)
	}}
	faults["hundreds"] = fault{true, func(ctx context.Context, f *fleet) (string, error) {
		node := f.nodes[len(f.nodes)-1]
		f.balancer.pausedUntil.Store(node.httpAddr, time.Now().Add(time.Hour))
		node.signal(syscall.SIGSTOP)
		probe := f.newControlProbe()
		stop := probe.start(ctx, 10*time.Millisecond, 50*time.Millisecond)
		start := time.Now()
		note, err := f.loseOneByOne(ctx, probe, 6, f.loseControl)
		for err == nil && ctx.Err() == nil && probe.acknowledgedCount() < 300 && time.Since(start) < 2*time.Minute {
			sleep(ctx, 100*time.Millisecond)
		}
		summary := stop()
		node.signal(syscall.SIGCONT)
		f.balancer.pausedUntil.Store(node.httpAddr, time.Now())
		if err != nil {
			return "", err
		}
		f.checkCaughtUp(ctx)
		return f.awaitRecovery(ctx, note+"; "+node.name+" was paused all the time; "+summary)
	}}
}

func (probe *controlProbe) acknowledgedCount() int {
	probe.mu.Lock()
	defer probe.mu.Unlock()
	return probe.acknowledged
}
