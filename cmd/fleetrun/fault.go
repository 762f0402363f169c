package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fault is a failure or an operator's action that a run injects.
type fault struct {
	disruptive bool // requests may lose their answers while it is active
	// inject causes the fault, waits for its end and returns a note for the report.
	inject func(ctx context.Context, f *fleet) (string, error)
}

// faults holds the faults by the names that --faults takes; worst.go adds more.
var faults = map[string]fault{
	"holiday":   {true, func(ctx context.Context, f *fleet) (string, error) { return f.blackoutPeriods(ctx) }},
	"operators": {true, func(ctx context.Context, f *fleet) (string, error) { return f.concurrentOperators(ctx) }},
	"kill-node": {true, func(ctx context.Context, f *fleet) (string, error) {
		p := f.nodes[0]
		p.kill()
		sleep(ctx, 2*time.Second)
		return "one node killed and restarted", p.start()
	}},
	"kill-leader": {true, func(ctx context.Context, f *fleet) (string, error) {
		p, err := f.leader()
		if err != nil {
			return "", err
		}
		p.kill()
		sleep(ctx, 3*time.Second)
		return p.name + " killed and restarted", p.start()
	}},
	"rolling-restart": {false, func(ctx context.Context, f *fleet) (string, error) {
		return "every process stopped gracefully and restarted", f.rollingRestart(ctx, "")
	}},
	"upgrade": {false, func(ctx context.Context, f *fleet) (string, error) {
		if f.nextBinDir == "" {
			return "no other build given by --next; skipped", nil
		}
		err := f.rollingRestart(ctx, f.nextBinDir)
		return "every process stopped gracefully and restarted from the other build; live builds: " + f.liveBuilds(), err
	}},
	"roll-back": {false, func(ctx context.Context, f *fleet) (string, error) {
		if f.nextBinDir == "" {
			return "no other build given by --next; skipped", nil
		}
		err := f.rollingRestart(ctx, f.binDir)
		return "every process back on the first build; live builds: " + f.liveBuilds(), err
	}},
	"busy-disk": {false, func(ctx context.Context, f *fleet) (string, error) {
		busyCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for i := 0; i < 6; i++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				f.loadDisk(busyCtx, i)
			}()
		}
		start := time.Now()
		err := f.applyChange(ctx, "PATCH", `{"fleet":{"retiring":1}}`, fmt.Sprint("busy-", start.UnixNano()))
		took := time.Since(start)
		wg.Wait()
		return fmt.Sprintf("other writers synced to the disk of the logs for 10 s; slowest log sync %v, a change acknowledged after %v", f.slowestDiskSync().Round(time.Millisecond), took.Round(time.Millisecond)), err
	}},
	"swap-all": {true, func(ctx context.Context, f *fleet) (string, error) {
		start := time.Now()
		for i := 0; i < f.deployment.controlCount; i++ {
			if err := f.replaceOldestControl(ctx, i); err != nil {
				return "", err
			}
		}
		took := time.Since(start)
		for _, p := range f.controls {
			p.kill()
		}
		for _, p := range f.controls {
			if err := p.start(); err != nil {
				return "", err
			}
		}
		note, err := f.awaitRecovery(ctx, fmt.Sprintf("%d control processes replaced by new ones in %v, then all killed and restarted", f.deployment.controlCount, took.Round(time.Millisecond)))
		if err == nil {
			err = f.applyChange(ctx, "PATCH", `{"fleet":{"retiring":1}}`, fmt.Sprint("swapped-", start.UnixNano()))
		}
		return note, err
	}},
	"drain-backend": {false, func(ctx context.Context, f *fleet) (string, error) {
		instance := f.backends[1]
		if err := instance.drain(); err != nil {
			return "", err
		}
		sleep(ctx, 5*time.Second)
		instance.deregister()
		instance.crash()
		return instance.address + " drained, deregistered, restarted", instance.start()
	}},
	"crash-backend": {true, func(ctx context.Context, f *fleet) (string, error) {
		instance := f.backends[2]
		instance.crash()
		sleep(ctx, 3*time.Second)
		return instance.address + " crashed, restarted", instance.start()
	}},
	"swap-service": {true, func(ctx context.Context, f *fleet) (string, error) {
		first, second := f.backends[3], f.backends[len(f.backends)-1]
		first.crash()
		second.crash()
		first.service, second.service = second.service, first.service
		if err := first.start(); err != nil {
			return "", err
		}
		if err := second.start(); err != nil {
			return "", err
		}
		sleep(ctx, 5*time.Second)
		return first.address + " and " + second.address + " swapped their services", nil
	}},
	"kill-many": {true, func(ctx context.Context, f *fleet) (string, error) {
		for _, p := range f.nodes[:len(f.nodes)/2] {
			p.kill()
		}
		sleep(ctx, time.Second)
		for _, p := range f.nodes[:len(f.nodes)/2] {
			if err := p.start(); err != nil {
				return "", err
			}
		}
		return f.awaitRecovery(ctx, "half of the nodes killed at once")
	}},
	"kill-all-disks": {true, func(ctx context.Context, f *fleet) (string, error) {
		for _, p := range f.controls {
			p.kill()
		}
		for _, p := range f.controls {
			if err := p.start(); err != nil {
				return "", err
			}
		}
		return f.awaitRecovery(ctx, "every control process killed at once and restarted")
	}},
	"lose-disk": {true, func(ctx context.Context, f *fleet) (string, error) {
		if err := f.applyChange(ctx, "PATCH", `{"fleet":{"retiring":1}}`, fmt.Sprint("before-loss-", time.Now().UnixNano())); err != nil {
			return "", err
		}
		p, err := f.leader()
		if err != nil {
			return "", err
		}
		oldVoterID := ""
		if status, err := f.fleetStatus(); err == nil {
			oldVoterID = f.voterID(status, p.name)
		}
		p.kill()
		if err := os.RemoveAll(p.diskDir); err != nil {
			return "", err
		}
		if err := p.start(); err != nil {
			return "", err
		}
		start := time.Now()
		for ctx.Err() == nil {
			status, err := f.fleetStatus()
			if voterID := f.voterID(status, p.name); err == nil && voterID != "" && voterID != oldVoterID && f.voterCount(status) >= 3 {
				if generation := uint64(status["generation"].(float64)); generation < f.generation {
					f.executions.violations.report("acknowledged generation missing", "reads %d, acknowledged %d", generation, f.generation)
				}
				return fmt.Sprintf("leader %s killed and its disk wiped just after an acknowledgement; back under a new voter id, as learner or voter, with at least three voters in all, after %v", p.name, time.Since(start).Round(time.Millisecond)), nil
			}
			sleep(ctx, 100*time.Millisecond)
		}
		return "", fmt.Errorf("the control process with the wiped disk did not rejoin the membership configuration")
	}},
	"swap-holder": {true, func(ctx context.Context, f *fleet) (string, error) {
		if f.deployment.controlCount < 4 {
			return "this deployment has no spare control process; skipped", nil
		}
		status, err := f.fleetStatus()
		if err != nil {
			return "", err
		}
		var leaving *process
		for _, p := range f.controls {
			if p.name != status["leader"] && f.isVoter(status, p.name) {
				leaving = p
			}
		}
		if leaving == nil {
			return "", fmt.Errorf("no voter besides the leader")
		}
		leaving.terminate(10 * time.Second)
		start := time.Now()
		for ctx.Err() == nil {
			if status, err := f.fleetStatus(); err == nil && f.voterCount(status) >= 3 && !f.isVoter(status, leaving.name) {
				took := time.Since(start)
				if err := f.applyChange(ctx, "PATCH", `{"fleet":{"retiring":1}}`, fmt.Sprint("after-swap-", start.UnixNano())); err != nil {
					return "", err
				}
				return fmt.Sprintf("%s deregistered; the spare control process votes in its place after %v, and a change was accepted", leaving.name, took.Round(time.Millisecond)), leaving.start()
			}
			sleep(ctx, 100*time.Millisecond)
		}
		return "", fmt.Errorf("the spare control process did not become a voter in its place")
	}},
	"freeze-node": {true, func(ctx context.Context, f *fleet) (string, error) {
		p := f.nodes[1]
		f.balancer.pausedUntil.Store(p.httpAddr, time.Now().Add(time.Hour))
		p.signal(syscall.SIGSTOP)
		sleep(ctx, 8*time.Second)
		p.signal(syscall.SIGCONT)
		f.balancer.pausedUntil.Store(p.httpAddr, time.Now())
		return f.awaitRecovery(ctx, p.name+" paused for 8 s")
	}},
	"freeze-leader": {true, func(ctx context.Context, f *fleet) (string, error) {
		p, err := f.leader()
		if err != nil {
			return "", err
		}
		p.signal(syscall.SIGSTOP)
		sleep(ctx, 6*time.Second)
		p.signal(syscall.SIGCONT)
		return f.awaitRecovery(ctx, p.name+" paused for 6 s")
	}},
	"race": {false, func(ctx context.Context, f *fleet) (string, error) {
		type changeResult struct {
			status     int
			generation float64
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		results := make(chan changeResult, 2)
		for i := 0; i < 2; i++ {
			go func() {
				status, answer, _ := f.sendChange(ctx, "PATCH", fmt.Sprintf(`{"fleet":{"retiring":%d}}`, 1), f.generation, fmt.Sprintf("race-%d-%d", i, time.Now().UnixNano()), i)
				generation, _ := answer["generation"].(float64)
				results <- changeResult{status, generation}
			}()
		}
		first, second := <-results, <-results
		if (first.status == 200) == (second.status == 200) {
			return "", fmt.Errorf("concurrent changes on the same version were answered %d and %d; want one success", first.status, second.status)
		}
		f.generation = uint64(max(first.generation, second.generation))
		f.load.acknowledgedGeneration.Store(f.generation)
		return fmt.Sprintf("concurrent changes on the same version were answered %d and %d", first.status, second.status), nil
	}},
	"broken-desired": {false, func(ctx context.Context, f *fleet) (string, error) {
		status, answer, err := f.sendChange(ctx, "PATCH", `{"fleet":{"nodes":-1},"lanes":{"x":{"slots":0}}}`, f.generation, fmt.Sprint("broken-", time.Now().UnixNano()), 1)
		if err != nil || status != 422 {
			return "", fmt.Errorf("want status 422, got %d %v", status, err)
		}
		return fmt.Sprintf("refused, naming %d faults", len(answer["faults"].([]any))), nil
	}},
	"wrong-bytes": {true, func(ctx context.Context, f *fleet) (string, error) {
		for _, answerFault := range []string{"truncate", "garble", "oversize", "lose", "error"} {
			f.backends[4].answerFault.Store(&answerFault)
			sleep(ctx, 2*time.Second)
		}
		none := ""
		f.backends[4].answerFault.Store(&none)
		return f.backends[4].address + " sent truncated, corrupted and oversized answers, lost answers and answered 503", nil
	}},
	"flood": {true, func(ctx context.Context, f *fleet) (string, error) {
		before := f.load.tally.servedShareSinceLast()
		floodCtx, cancel := context.WithTimeout(ctx, 6*time.Second)
		defer cancel()
		f.load.flood(floodCtx, f.deployment.lanes[0], 600)
		<-floodCtx.Done()
		after := f.load.tally.servedShareSinceLast()
		return fmt.Sprintf("lane %s flooded with 600 more requests a second; share served on the other lanes %.4f before, %.4f by its end, ratio %.4f", f.deployment.lanes[0].name, before, after, after/before), nil
	}},
	"change-desired": {false, func(ctx context.Context, f *fleet) (string, error) {
		start := time.Now()
		document := strings.Replace(f.deployment.desired, `"surge": 1`, `"surge": 0`, 1)
		if err := f.applyChange(ctx, "PUT", document, fmt.Sprint("change-", start.UnixNano())); err != nil {
			return "", err
		}
		acknowledgedAfter := time.Since(start)
		return fmt.Sprintf("acknowledged after %v", acknowledgedAfter.Round(time.Millisecond)), nil
	}},
}

// awaitRecovery waits until all nodes are ready, which must take at most 15 s, and adds the time to the note.
func (f *fleet) awaitRecovery(ctx context.Context, note string) (string, error) {
	start := time.Now()
	for ctx.Err() == nil {
		ready := 0
		client := http.Client{Timeout: 300 * time.Millisecond}
		for _, p := range f.nodes {
			resp, err := client.Get("http://" + p.httpAddr + "/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(f.nodes) {
			took := time.Since(start)
			if took > 15*time.Second {
				return "", fmt.Errorf("all nodes were ready again only after %v", took)
			}
			return fmt.Sprintf("%s; all nodes ready %v after the end of the fault", note, took.Round(time.Millisecond)), nil
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return "", fmt.Errorf("the run ended before all nodes were ready again")
}

// rollingRestart restarts one process after another, from another build if binDir is given.
func (f *fleet) rollingRestart(ctx context.Context, binDir string) error {
	killed := 0
	for _, p := range append(append([]*process{}, f.nodes...), f.controls...) {
		if !p.terminate(20 * time.Second) {
			killed++
		}
		if binDir != "" {
			p.binary = filepath.Join(binDir, filepath.Base(p.binary))
		}
		if err := p.start(); err != nil {
			return err
		}
		sleep(ctx, 1500*time.Millisecond)
	}
	if killed > 0 {
		return fmt.Errorf("%d processes did not end after SIGTERM and were killed", killed)
	}
	return nil
}

// liveBuilds returns how many live members run each build.
func (f *fleet) liveBuilds() string {
	status, _ := f.fleetStatus()
	count := map[string]int{}
	records, _ := status["cards"].([]any)
	for _, element := range records {
		if record := element.(map[string]any); record["state"] == "live" {
			count[record["build"].(string)]++
		}
	}
	return formatCounts(count)
}

// loadDisk writes and syncs a file beside the logs until ctx ends.
func (f *fleet) loadDisk(ctx context.Context, i int) {
	name := filepath.Join(f.runDir, fmt.Sprintf("%s-busy-%d", f.deployment.name, i))
	file, err := os.Create(name)
	if err != nil {
		return
	}
	defer os.Remove(name)
	defer file.Close()
	block := make([]byte, 8<<20)
	for ctx.Err() == nil {
		file.WriteAt(block, 0)
		file.Sync()
	}
}

// slowestDiskSync returns the slowest log sync that any control process reports in its metrics.
func (f *fleet) slowestDiskSync() time.Duration {
	slowest := 0.0
	for _, p := range f.controls {
		resp, err := http.Get("http://" + p.operatorsAddr + "/metrics")
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		for _, line := range strings.Split(string(body), "\n") {
			if value, ok := strings.CutPrefix(line, "sloeturn_disk_slowest_seconds "); ok {
				seconds, _ := strconv.ParseFloat(value, 64)
				slowest = max(slowest, seconds)
			}
		}
	}
	return time.Duration(slowest * 1e9)
}

// replaceOldestControl starts the i-th new control process with an empty disk, stops the oldest one and
// waits until the new membership configuration has accepted a change.
func (f *fleet) replaceOldestControl(ctx context.Context, i int) error {
	var seeds []string
	for _, p := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, p.memberAddr)
	}
	fresh := f.newControlProcess(f.deployment.controlCount+i, seeds)
	if err := fresh.start(); err != nil {
		return err
	}
	sleep(ctx, 1500*time.Millisecond)
	old := f.controls[0]
	f.controls = append(f.controls[1:], fresh)
	old.terminate(10 * time.Second)
	for ctx.Err() == nil {
		if status, err := f.fleetStatus(); err == nil && f.voterCount(status) >= 3 && !f.isVoter(status, old.name) {
			return f.applyChange(ctx, "PATCH", `{"fleet":{"retiring":1}}`, fmt.Sprint("swap-", old.name))
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return fmt.Errorf("%s was not replaced", old.name)
}

func (f *fleet) voterCount(status map[string]any) int {
	count := 0
	voters, _ := status["roster"].([]any)
	for _, element := range voters {
		if element.(map[string]any)["learner"] == false {
			count++
		}
	}
	return count
}

func (f *fleet) isVoter(status map[string]any, name string) bool {
	voters, _ := status["roster"].([]any)
	for _, element := range voters {
		if entry := element.(map[string]any); entry["member"] == name && entry["learner"] == false {
			return true
		}
	}
	return false
}

// voterID returns the id under which the named member appears in the membership configuration.
func (f *fleet) voterID(status map[string]any, name string) string {
	voters, _ := status["roster"].([]any)
	for _, element := range voters {
		if entry := element.(map[string]any); entry["member"] == name {
			return entry["voter"].(string)
		}
	}
	return ""
}

func findFault(name string) *fault {
	found, ok := faults[name]
	if !ok {
		return nil
	}
	return &found
}

func faultNames() []string {
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (f *fleet) leader() (*process, error) {
	status, err := f.fleetStatus()
	if err != nil {
		return nil, err
	}
	for _, p := range f.controls {
		if p.name == status["leader"] {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no leader known")
}
