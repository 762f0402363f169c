// Command fleetrun starts whole fleets on loopback addresses, drives requests through them while it
// injects faults, and reports each violated invariant. With --hollow it measures a fleet with many
// members in one process instead.
package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/alexflint/go-arg"

	"sloeturn/boot"
)

type args struct {
	Deployment     string  `arg:"--deployment" default:"both" help:"kernevel, kiesplan or both"`
	Seconds        int     `arg:"--seconds" default:"60" help:"how long requests are sent"`
	BinDir         string  `arg:"--bin" default:"bin" help:"folder of the built programs"`
	RunDir         string  `arg:"--dir" help:"folder for logs and disks; by default a new temporary folder"`
	RateScale      float64 `arg:"--scale" default:"1" help:"request rate, as a multiple of the deployment's"`
	NextBinDir     string  `arg:"--next" help:"folder of another build, for the faults upgrade and roll-back"`
	Skew           float64 `arg:"--skew" default:"1.7" help:"how uneven the load of kept-alive connections is; 1 is even"`
	Faults         string  `arg:"--faults" help:"comma-separated faults to inject one after another; 'list' prints them"`
	Overlap        bool    `arg:"--over" help:"start each fault without waiting for the previous one to end"`
	ClockScale     int64   `arg:"--clock-scale" help:"how many times faster the calendar's clock runs, for the fault holiday; 5760 is one day in 15 s"`
	CatchUpSeconds float64 `arg:"--catch-up" default:"4" help:"seconds between the losses of two control processes; a quarter of it is their voterReplaceMs"`
	GapSeconds     int     `arg:"--gap" default:"10" help:"seconds between faults"`
	Hollow         string  `arg:"--hollow" help:"instead: measure a fleet of simulated members in this process; base, grown, whole, parted, all, or a comma-separated list of the variables to vary one by one"`
	SizeOverrides  string  `arg:"--size" help:"with --hollow: comma-separated name=number pairs that override the initial size"`
	From           string  `arg:"--from" default:"base" help:"with --hollow and variables: the size from which they are varied"`
	LimitSeconds   int     `arg:"--limit" default:"600" help:"with --hollow: time limit in seconds"`
	WindowSeconds  float64 `arg:"--window" default:"7.2" help:"with --hollow: length of the measurement, in seconds of the simulated clock"`
	Live           bool    `arg:"--live" help:"with --hollow: real processes and sockets on loopback, with simulated nodes and backends beside them"`
	RealNodes      int     `arg:"--real" default:"2" help:"with --live: number of nodes that run as processes of their own"`
	Threads        int     `arg:"--threads" default:"4" help:"with --hollow: number of threads that run the members"`
	Profile        string  `arg:"--profile" help:"with --hollow: file for a CPU profile in pprof format"`
	CostBreakdown  bool    `arg:"--deep" help:"with --hollow: also break down CPU time and bytes by cause"`
}

func (args) Version() string { return "fleetrun " + boot.Build }
func (args) Description() string {
	return "Runs whole fleets on loopback with test clients and test backends, injects faults, and counts violated invariants."
}

func main() {
	var flags args
	arg.MustParse(&flags)
	if flags.Faults == "list" {
		for _, name := range faultNames() {
			fmt.Println(name)
		}
		return
	}
	if flags.Hollow != "" {
		if err := runHollow(flags); err != nil {
			fmt.Fprintln(os.Stderr, "fleetrun:", err)
			os.Exit(1)
		}
		return
	}
	var specs []*deployment
	switch flags.Deployment {
	case "kernevel":
		specs = []*deployment{kernevel()}
	case "kiesplan":
		specs = []*deployment{kiesplan()}
	case "both":
		specs = []*deployment{kernevel(), kiesplan()}
	default:
		fmt.Fprintln(os.Stderr, "fleetrun: --deployment must be kernevel, kiesplan or both")
		os.Exit(2)
	}
	var faults []string
	if flags.Faults != "" {
		faults = strings.Split(flags.Faults, ",")
	}
	for _, name := range faults {
		if findFault(name) == nil {
			fmt.Fprintf(os.Stderr, "fleetrun: unknown fault %q; --faults list prints the faults\n", name)
			os.Exit(2)
		}
	}
	dir := flags.RunDir
	if dir == "" {
		temporary, err := os.MkdirTemp("", "fleetrun-")
		if err != nil {
			fmt.Fprintln(os.Stderr, "fleetrun:", err)
			os.Exit(1)
		}
		dir = temporary
	}
	fmt.Println("logs and disks in", dir)
	violations := 0
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, spec := range specs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			count := runDeployment(spec, flags, dir, faults)
			mu.Lock()
			violations += count
			mu.Unlock()
		}()
	}
	wg.Wait()
	if violations > 0 {
		fmt.Printf("%d promises broken\n", violations)
		os.Exit(1)
	}
	fmt.Println("no promise broken")
}

// runDeployment starts one deployment, sends requests, injects the faults and prints the report. It
// returns the number of kinds of violations.
func runDeployment(spec *deployment, flags args, dir string, faults []string) int {
	executions := &executionLog{countByKey: map[string]int{}, executedAt: map[string]time.Time{}, violations: &violationLog{}}
	f := newFleet(spec, flags.BinDir, dir, flags.Skew, flags.ClockScale, time.Duration(flags.CatchUpSeconds*float64(time.Second)), executions)
	f.load.rateScale, f.nextBinDir = flags.RateScale, flags.NextBinDir
	start := time.Now()
	if err := f.start(); err != nil {
		fmt.Println(spec.name, "cannot start:", err)
		return 1
	}
	defer f.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.balancer.pollReadiness(ctx)
	startCtx, cancelStart := context.WithTimeout(ctx, 30*time.Second)
	defer cancelStart()
	if err := f.applyChange(startCtx, "PUT", spec.desired, "first"); err != nil {
		fmt.Println(spec.name, "desired state not accepted:", err)
		return 1
	}
	acknowledgedAfter := time.Since(start)
	if err := f.awaitReady(startCtx, spec.dataCount); err != nil {
		fmt.Println(spec.name, err)
		return 1
	}
	fmt.Printf("%s: acknowledged after %v, all %d nodes ready after %v\n", spec.name, acknowledgedAfter.Round(time.Millisecond), spec.dataCount, time.Since(start).Round(time.Millisecond))
	time.Sleep(3 * time.Second)
	loadCtx, stopLoad := context.WithTimeout(ctx, time.Duration(flags.Seconds)*time.Second)
	defer stopLoad()
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		f.load.run(loadCtx)
	}()
	var lines []string
	var mu sync.Mutex
	var running sync.WaitGroup
	// Requests may lose their answers while a disruptive fault is active and for 4 s after it.
	injectFault := func(name string) {
		defer running.Done()
		disruptive := findFault(name).disruptive || flags.Overlap
		if disruptive {
			f.load.activeFaults.Add(1)
		}
		injectedAt := time.Now()
		note, err := findFault(name).inject(loadCtx, f)
		if err != nil && loadCtx.Err() == nil {
			executions.violations.report("fault "+name, "%v", err)
		}
		mu.Lock()
		lines = append(lines, fmt.Sprintf("fault %s: took %v; %s", name, time.Since(injectedAt).Round(time.Millisecond), note))
		mu.Unlock()
		if disruptive {
			sleep(loadCtx, 4*time.Second)
			f.load.activeFaults.Add(-1)
		}
	}
	for _, name := range faults {
		if !sleep(loadCtx, time.Duration(flags.GapSeconds)*time.Second) {
			break
		}
		running.Add(1)
		if flags.Overlap {
			go injectFault(name)
		} else {
			injectFault(name)
		}
	}
	<-loadDone
	running.Wait()
	f.report(lines)
	return len(executions.violations.count)
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// report prints the notes of the faults, the counts and latencies, and the violations.
func (f *fleet) report(lines []string) {
	results := f.load.tally
	var text strings.Builder
	addLine := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	addLine("== %s", f.deployment.name)
	for _, line := range lines {
		addLine("%s", line)
	}
	addLine("counts: %s", formatCounts(results.counts))
	addLine("reasons: %s", formatCounts(results.reasons))
	addLine("served: p50 %v p99 %v worst %v", quantile(results.servedLatencies, .5), quantile(results.servedLatencies, .99), quantile(results.servedLatencies, 1))
	addLine("served on at-most-once lanes: p50 %v p99 %v", quantile(results.atMostOnceLatencies, .5), quantile(results.atMostOnceLatencies, .99))
	addLine("refusals: p50 %v p99 %v worst %v", quantile(results.refusedLatencies, .5), quantile(results.refusedLatencies, .99), quantile(results.refusedLatencies, 1))
	var lanes []string
	for lane := range results.laneCounts {
		lanes = append(lanes, lane)
	}
	sort.Strings(lanes)
	for _, lane := range lanes {
		counts := results.laneCounts[lane]
		addLine("lane %s: %d requests, %.2f%% served, p50 %v p99 %v", lane, counts[0], 100*float64(counts[1])/float64(max(1, counts[0])), quantile(results.laneLatencies[lane], .5), quantile(results.laneLatencies[lane], .99))
	}
	longestGap := time.Duration(0)
	for i := 1; i < len(results.servedAt); i++ {
		longestGap = max(longestGap, results.servedAt[i].Sub(results.servedAt[i-1]))
	}
	addLine("longest time with nothing served: %v", longestGap.Round(time.Millisecond))
	for _, service := range f.deployment.services {
		peakConnections, longestAfterDrainNs, served := int64(0), int64(0), int64(0)
		for _, instance := range f.backends {
			if instance.service == service.name {
				peakConnections, longestAfterDrainNs, served = max(peakConnections, instance.peakConnections.Load()), max(longestAfterDrainNs, instance.longestAfterDrainNs.Load()), served+instance.servedCount.Load()
			}
		}
		addLine("service %s: at most %d connections at one backend (accepts %d), %d requests executed, latest request after a drain %v", service.name, peakConnections, service.maxConnections, served, time.Duration(longestAfterDrainNs).Round(time.Millisecond))
	}
	violations := f.executions.violations
	for _, kind := range sortedKeys(violations.count) {
		addLine("BROKEN %s: %d times; first: %s", kind, violations.count[kind], violations.first[kind])
	}
	fmt.Print(text.String())
}

func sortedKeys(m map[string]int) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func formatCounts(m map[string]int) string {
	var parts []string
	for _, k := range sortedKeys(m) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
