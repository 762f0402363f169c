package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"time"

	"sloeturn/hollow"
)

// hollowHeapBytes is the soft memory limit of a run with simulated members.
const hollowHeapBytes = 7 << 30

// runHollow measures a fleet of simulated members in this process.
func runHollow(flags args) error {
	debug.SetMemoryLimit(hollowHeapBytes)
	var vary []string
	parted := flags.Hollow == "parted"
	if parted {
		flags.Hollow = flags.From
	}
	from, ok := hollow.Sizes[flags.Hollow]
	if !ok {
		if from, ok = hollow.Sizes[flags.From]; !ok {
			return fmt.Errorf("--from must be base, grown or whole")
		}
		vary = strings.Split(flags.Hollow, ",")
		if flags.Hollow == "all" {
			vary = []string{"nodes", "backends", "services", "lanes", "tenants", "zones", "changes", "visits", "controls", "beat"}
			if flags.Live {
				vary = []string{"nodes", "backends", "services", "lanes", "beat"}
			}
		}
	}
	for _, variable := range vary {
		if hollow.SweepValues[variable] == nil || flags.Live && hollow.LiveSweepValues[variable] == nil {
			return fmt.Errorf("--hollow has no variable %q", variable)
		}
	}
	size, err := from.Read(flags.SizeOverrides)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, flags.Threads))
	if flags.Profile != "" {
		file, err := os.Create(flags.Profile)
		if err != nil {
			return err
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	fmt.Printf("simulated members run on %d threads of this machine\n", max(1, flags.Threads))
	if parted {
		if flags.SizeOverrides == "" {
			size.Regions, size.Zones = 3, 6
		}
		return hollow.MeasurePartition(os.Stdout, size, 1, max(10*time.Second, time.Duration(flags.WindowSeconds*1e9)), time.Duration(flags.LimitSeconds)*time.Second)
	}
	return hollow.Plan{Size: size, Variables: vary, Window: time.Duration(flags.WindowSeconds * 1e9), TimeLimit: time.Duration(flags.LimitSeconds) * time.Second, Seed: 1, CostBreakdown: flags.CostBreakdown, Live: flags.Live, RealNodes: flags.RealNodes, BinDir: flags.BinDir, RunDir: flags.RunDir}.Run(os.Stdout)
}
