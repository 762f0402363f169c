// Command seeds runs the simulated fleet over a range of random seeds and reports the seeds in which
// an invariant was violated.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sort"
	"sync"
	"time"

	"github.com/alexflint/go-arg"

	"sloeturn/boot"
	"sloeturn/simulate"
)

type args struct {
	FirstSeed     int64  `arg:"--from" default:"1" help:"first seed"`
	Count         int    `arg:"--count" default:"100" help:"how many seeds"`
	Seconds       int    `arg:"--seconds" default:"30" help:"simulated seconds of faults for each seed"`
	DisabledGuard string `arg:"--weak" help:"disable one safety check: claims, gate, fence, ack, sync, told, identity, fresh, answers, drain, check, basis, seat, stands, law, budget, patience, will, again, turned, life, write, still, clock, heed, lapse, read, ids, reads, contact, quorum, resent, replace, vote, catch, witness, cancel, unseen, hasty"`
	Scene         string `arg:"--scene" help:"run this scene instead of random faults; 'list' prints the scenes"`
	Multiples     []int  `arg:"--scale" help:"instead: compute traffic and times for these multiples of the present number of machines"`
	Trace         bool   `arg:"--trace" help:"print the whole trace of the first seed"`
	All           bool   `arg:"--all" help:"print a line for each seed"`
}

func (args) Version() string { return "seeds " + boot.Build }
func (args) Description() string {
	return "Runs the simulated fleet over many seeds, each with its own faults, and reports the seeds that violated an invariant."
}

func main() {
	var flags args
	arg.MustParse(&flags)
	if flags.Trace {
		flags.Count = 1
	}
	for _, multiple := range flags.Multiples {
		fmt.Printf("%dx: %v\n", multiple, simulate.MeasureScale(multiple, flags.FirstSeed))
	}
	if len(flags.Multiples) > 0 {
		return
	}
	if flags.Scene == "list" {
		for _, listed := range simulate.Scenes {
			fmt.Printf("%-14s %s\n", listed.Name, listed.Description)
		}
		return
	}
	scene := simulate.SceneByName(flags.Scene)
	if flags.Scene != "" && scene == nil {
		fmt.Fprintf(os.Stderr, "seeds: unknown scene %q; --scene list prints the scenes\n", flags.Scene)
		os.Exit(2)
	}
	start := time.Now()
	seeds := make(chan int64)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed []*simulate.Result
	faults, broken, counts := map[string]int{}, map[string]int{}, map[string]int{}
	var maxRefusal, maxServiceGap, maxRecovery, maxCellAge, maxAcknowledge time.Duration
	served, maxConnections, minRatio, shareSum := 0, 0, 1.0, 0.0
	for i := 0; i < runtime.NumCPU(); i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := range seeds {
				var result *simulate.Result
				if scene != nil {
					result = simulate.RunScene(scene, seed, flags.DisabledGuard, flags.Trace)
				} else {
					result = simulate.RunSeed(seed, flags.DisabledGuard, time.Duration(flags.Seconds)*time.Second, flags.Trace)
				}
				mu.Lock()
				if len(result.Violations) > 0 {
					failed = append(failed, result)
				}
				for name, count := range result.Faults {
					faults[name] += count
				}
				for name := range result.Violations {
					broken[name]++
				}
				maxRefusal, maxServiceGap, maxRecovery, maxCellAge, maxAcknowledge = max(maxRefusal, result.SlowestRefusal), max(maxServiceGap, result.LongestGap), max(maxRecovery, result.RecoveryTime), max(maxCellAge, result.MaxCellStaleness), max(maxAcknowledge, result.SlowestAck)
				if result.MinShareRatio > 0 {
					minRatio = min(minRatio, result.MinShareRatio)
				}
				shareSum += result.ServedShare
				for _, name := range []string{"held", "withdrawn", "landed"} {
					counts[name] += result.Counters[name]
				}
				served, maxConnections = served+result.Counters["served"], max(maxConnections, result.MaxConnections)
				if flags.All {
					fmt.Println(result)
				}
				if flags.Trace {
					for _, line := range result.Log {
						fmt.Println(line)
					}
					fmt.Println(result.Counters)
				}
				mu.Unlock()
			}
		}()
	}
	for i := 0; i < flags.Count; i++ {
		seeds <- flags.FirstSeed + int64(i)
	}
	close(seeds)
	wg.Wait()
	sort.Slice(failed, func(i, j int) bool { return failed[i].Seed < failed[j].Seed })
	for i, result := range failed {
		if i < 20 {
			fmt.Println(result)
		}
	}
	fmt.Printf("faults caused: %v\n", faults)
	fmt.Printf("%d seeds in %v: %d served, worst refusal %v, longest time with nothing served %v, longest recovery %v, most connections at one backend %d of %d, least ratio %.3f, longest time without a cell's update %v, slowest change %v\n", flags.Count, time.Since(start).Round(time.Millisecond), served, maxRefusal, maxServiceGap, maxRecovery, maxConnections, simulate.MaxBackendConnections, minRatio, maxCellAge, maxAcknowledge)
	if counts["landed"] > 0 {
		fmt.Printf("changes held %d, withdrawn %d, in effect %d\n", counts["held"], counts["withdrawn"], counts["landed"])
	}
	if shareSum > 0 {
		fmt.Printf("mean share served %.4f\n", shareSum/float64(flags.Count))
	}
	if len(failed) > 0 {
		fmt.Printf("%d seeds broke a promise: %v\n", len(failed), broken)
		os.Exit(1)
	}
	fmt.Println("no promise broken")
}
