package hollow

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"sloeturn/agreement"
	"sloeturn/ident"
	"sloeturn/relay"
)

// SettleTime is longer than relay.PathOffsetDuration, after which nodes that polled further up the path while
// there was no leader poll their parents again.
const SettleTime = 8 * time.Second

// RoleCosts holds the costs of the members of a role: means per member and second, except MaxRoundTime, MaxKB and
// MaxCPUPercent, which are those of the busiest member, and HeapMB per member.
type RoleCosts struct {
	Name                string
	Members             int
	FramesIn, FramesOut float64
	KBIn                float64
	KBOut               float64
	KBDisk              float64
	CPUPercent          float64
	MaxRoundTime        time.Duration
	LogEntries          float64
	HeapMB              float64
	CPUPercentByKind    map[string]float64
	KBOutByFrame        map[string]float64
	MaxKB               float64
	MaxCPUPercent       float64
}

// Result is the outcome of a measurement. CellAge and CoreAge are the median and the maximum; AnnouncesPerSecond
// holds the acknowledged and the failed ones. StartupCPU, MaxProbeStart and MaxProbesStarted are the maxima over
// the nodes until SettleTime after all were ready.
type Result struct {
	Size
	Roles              []*RoleCosts
	ReadyAfter         time.Duration
	AckTimes           []time.Duration
	EverywhereTimes    []time.Duration
	CellAge            [2]time.Duration
	CoreAge            [2]time.Duration
	AnnouncesPerSecond [2]float64
	ServedPerSecond    float64
	RefusedPerSecond   float64
	DesiredKB          float64
	SnapshotKB         float64
	PeakConnections    int
	MemberRecords      int
	KnownBackends      int
	Pools              int
	HeapMB             float64
	WallTime           time.Duration
	Window             time.Duration
	StartupCPU         time.Duration
	MaxProbeStart      time.Duration
	MaxProbesStarted   uint64
}

// heapBytes returns the size of the live heap after two garbage collections.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// membersByRole groups control processes by leadership and by whether they hold a cell, and nodes by their place in
// the relay tree.
func (f *Fleet) membersByRole() map[string][]*member {
	byRole := map[string][]*member{}
	holders := map[string]bool{}
	if f.ControlProcesses > 0 {
		for _, hold := range f.members[0].controlPlane.Relay.Core.GetHolds() {
			holders[hold.Holder] = true
		}
	}
	parents := map[string]bool{}
	for _, m := range f.members[f.ControlProcesses:] {
		parents[m.node.Relay.Parent()] = true
	}
	for _, m := range f.members {
		switch {
		case m.controlPlane != nil:
			name := "follower"
			if m.controlPlane.Agreement.Role() == agreement.Leader {
				name = "leader"
			} else if !holders[m.name] {
				name = "follower, no cell"
			}
			byRole[name] = append(byRole[name], m)
		case len(relay.PollPath(m.node.Members.Ring(), ident.Member(m.name))) <= f.ControlProcesses:
			byRole["relay at the root"] = append(byRole["relay at the root"], m)
		case parents[m.addr]:
			byRole["relay within"] = append(byRole["relay within"], m)
		default:
			byRole["leaf"] = append(byRole["leaf"], m)
		}
	}
	return byRole
}

func sumCosts(name string, members []*member, duration time.Duration) *RoleCosts {
	costs := &RoleCosts{Name: name, Members: len(members), CPUPercentByKind: map[string]float64{}, KBOutByFrame: map[string]float64{}}
	count, seconds := float64(len(members)), duration.Seconds()
	for _, m := range members {
		costs.FramesIn += float64(m.FramesIn) / count / seconds
		costs.FramesOut += float64(m.FramesOut) / count / seconds
		costs.KBIn += float64(m.BytesIn) / count / seconds / 1e3
		costs.KBOut += float64(m.BytesOut) / count / seconds / 1e3
		costs.KBDisk += float64(m.DiskBytes) / count / seconds / 1e3
		costs.CPUPercent += 100 * m.CPUTime.Seconds() / count / seconds
		costs.LogEntries += float64(m.LogEntries) / count / seconds
		costs.MaxRoundTime = max(costs.MaxRoundTime, m.MaxRoundTime)
		costs.MaxKB = max(costs.MaxKB, float64(m.BytesIn+m.BytesOut)/seconds/1e3)
		costs.MaxCPUPercent = max(costs.MaxCPUPercent, 100*m.CPUTime.Seconds()/seconds)
		for kind, value := range m.CPUByKind {
			costs.CPUPercentByKind[kind] += 100 * value.Seconds() / count / seconds
		}
		for kind, value := range m.BytesOutByFrame {
			costs.KBOutByFrame[kind] += float64(value) / count / seconds / 1e3
		}
	}
	return costs
}

func medianAndMax(durations []time.Duration) [2]time.Duration {
	if len(durations) == 0 {
		return [2]time.Duration{}
	}
	slices.Sort(durations)
	return [2]time.Duration{durations[len(durations)/2], durations[len(durations)-1]}
}

// Measure brings up a simulated fleet, submits changes at the rate of the size for the window, and returns the
// costs of each role in it. It then waits at most 10 s of simulated time for each change to reach every node.
func Measure(size Size, seed int64, window, limit time.Duration) (*Result, error) {
	before := heapBytes()
	fleet := NewFleet(size, seed, limit)
	r := &Result{Size: size, Window: window, PeakConnections: size.PeakConnections(0), DesiredKB: float64(len(size.DesiredState())) / 1e3}
	fleet.resetCounters()
	var err error
	if r.ReadyAfter, err = fleet.BringUp(60 * time.Second); err != nil {
		return r, err
	}
	if err := fleet.Run(SettleTime); err != nil {
		return r, err
	}
	for _, m := range fleet.members[fleet.ControlProcesses:] {
		r.StartupCPU, r.MaxProbeStart, r.MaxProbesStarted = max(r.StartupCPU, m.CPUTime), max(r.MaxProbeStart, m.MaxProbeStart), max(r.MaxProbesStarted, m.ProbesStarted)
	}
	fleet.resetCounters()
	from := fleet.now
	var changeIDs []uint64
	for n := 0; fleet.now.Sub(from) < window; n++ {
		step := window
		if fleet.ChangesPerMinute > 0 {
			step = min(window, time.Minute/time.Duration(fleet.ChangesPerMinute))
			changeIDs = append(changeIDs, fleet.SubmitChange(fleet.lanePatch(n), true, fleet.generation()))
		}
		if err := fleet.Run(min(step, window-fleet.now.Sub(from))); err != nil {
			return r, err
		}
	}
	r.AnnouncesPerSecond = [2]float64{float64(fleet.announceCounts[0].Load()) / window.Seconds(), float64(fleet.announceCounts[1].Load()) / window.Seconds()}
	r.ServedPerSecond, r.RefusedPerSecond = float64(fleet.served.Load())/window.Seconds(), float64(fleet.refused.Load())/window.Seconds()
	r.CellAge, r.CoreAge = medianAndMax(fleet.cellAges), medianAndMax(fleet.coreAges)
	for name, members := range fleet.membersByRole() {
		r.Roles = append(r.Roles, sumCosts(name, members, window))
	}
	slices.SortFunc(r.Roles, func(a, b *RoleCosts) int { return strings.Compare(a.Name, b.Name) })
	fleet.workers = runtime.GOMAXPROCS(0)
	for _, id := range changeIDs {
		for i := 0; i < 100 && fleet.changes[id].everywhereAfter == 0; i++ {
			if err := fleet.Run(100 * time.Millisecond); err != nil {
				return r, err
			}
		}
		r.AckTimes, r.EverywhereTimes = append(r.AckTimes, fleet.changes[id].ackedAfter), append(r.EverywhereTimes, fleet.changes[id].everywhereAfter)
	}
	node, controlPlane := fleet.members[fleet.ControlProcesses].node, fleet.members[0].controlPlane
	r.MemberRecords, r.Pools, r.SnapshotKB = len(node.Members.Records()), len(node.Pass.PoolStatuses()), float64(len(controlPlane.Ledger.EncodeSnapshot()))/1e3
	for _, cell := range node.Relay.Cells {
		r.KnownBackends += len(cell.Backends)
	}
	r.WallTime = time.Since(fleet.startedAt)
	r.measureHeap(fleet, before)
	return r, nil
}

// measureHeap derives the heap per member from the heap that is freed when first all nodes and then all control
// processes are dropped; it is the last step, as the fleet can't run afterwards.
func (r *Result) measureHeap(fleet *Fleet, before float64) {
	for _, m := range fleet.members {
		m.inbox, m.outbox, m.delayed = nil, nil, nil
	}
	fleetHeap := heapBytes()
	r.HeapMB = (fleetHeap - before) / 1e6
	for _, m := range fleet.members[fleet.ControlProcesses:] {
		m.node, m.idleConns, m.poolKeys = nil, nil, nil
	}
	controlPlaneHeap := heapBytes()
	for _, m := range fleet.members[:fleet.ControlProcesses] {
		m.controlPlane = nil
	}
	emptyHeap := heapBytes()
	for _, costs := range r.Roles {
		if strings.HasPrefix(costs.Name, "leader") || strings.HasPrefix(costs.Name, "follower") {
			costs.HeapMB = (controlPlaneHeap - emptyHeap) / 1e6 / float64(fleet.ControlProcesses)
		} else {
			costs.HeapMB = (fleetHeap - controlPlaneHeap) / 1e6 / float64(fleet.Nodes)
		}
	}
	runtime.KeepAlive(fleet)
}

// Print writes the result as text; deep adds the largest costs by kind of work and of frame.
func (r *Result) Print(out io.Writer, deep bool) {
	printLine := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	printLine("hollow %v", r.Size)
	printLine("  %v measured, %.1f s of the machine's; all ready after %v; change acknowledged after %v, at all nodes after %v (most)", r.Window, r.WallTime.Seconds(), r.ReadyAfter, maxDuration(r.AckTimes), maxDuration(r.EverywhereTimes))
	printLine("  from start to 8 s after all are ready, the busiest node spends %.2f s of a core; it makes %d guards, the dearest costs %v", r.StartupCPU.Seconds(), r.MaxProbesStarted, r.MaxProbeStart)
	printLine("  age of cells' news p50 %v worst %v, of the leader's word p50 %v worst %v", r.CellAge[0], r.CellAge[1], r.CoreAge[0], r.CoreAge[1])
	printLine("  beats a second %.0f heard %.0f not; visits a second %.0f served %.0f refused; a backend must accept %d connections", r.AnnouncesPerSecond[0], r.AnnouncesPerSecond[1], r.ServedPerSecond, r.RefusedPerSecond, r.PeakConnections)
	printLine("  a node holds %d cards, %d backends, %d pools; desired state %.1f kB, image of the book %.1f kB; heap of all %.0f MB", r.MemberRecords, r.KnownBackends, r.Pools, r.DesiredKB, r.SnapshotKB, r.HeapMB)
	printLine("  %-18s %4s %8s %8s %9s %9s %8s %8s %8s %9s %8s %8s", "role", "of", "in/s", "out/s", "kB in/s", "kB out/s", "disk kB", "core %", "most %", "worst", "notes/s", "heap MB")
	for _, costs := range r.Roles {
		printLine("  %-18s %4d %8.1f %8.1f %9.2f %9.2f %8.2f %8.3f %8.3f %9v %8.1f %8.2f", costs.Name, costs.Members, costs.FramesIn, costs.FramesOut, costs.KBIn, costs.KBOut, costs.KBDisk, costs.CPUPercent, costs.MaxCPUPercent, costs.MaxRoundTime.Round(10*time.Microsecond), costs.LogEntries, costs.HeapMB)
	}
	if !deep {
		return
	}
	for _, costs := range r.Roles {
		printLine("  %s, core %%: %s", costs.Name, formatLargest(costs.CPUPercentByKind))
		printLine("  %s, kB out a second: %s", costs.Name, formatLargest(costs.KBOutByFrame))
	}
}

// formatLargest lists the 8 largest values, the largest first.
func formatLargest(values map[string]float64) string {
	var parts []string
	names := sortedNames(values)
	slices.SortFunc(names, func(a, b string) int {
		if values[a] > values[b] {
			return -1
		}
		return 1
	})
	for _, name := range names {
		if len(parts) < 8 {
			parts = append(parts, fmt.Sprintf("%s %.3f", name, values[name]))
		}
	}
	return strings.Join(parts, ", ")
}

func maxDuration(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	return slices.Max(durations)
}
