package hollow

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"sloeturn/ident"
	"sloeturn/ledger"
)

// Parted runs a fleet whose last region is cut off for the given span, then one in which all regions are cut off
// from each other, and prints the state of each region and the outcome of a change submitted in each.
func MeasurePartition(to io.Writer, size Size, seed int64, span, limit time.Duration) error {
	fleet := NewFleet(size, seed, limit)
	fleet.resetCounters()
	readyAfter, err := fleet.BringUp(60 * time.Second)
	if err != nil {
		return err
	}
	if err := fleet.Run(5 * time.Second); err != nil {
		return err
	}
	fmt.Fprintf(to, "parted %v; all ready after %v\n", size, readyAfter)
	for _, isolated := range []int{size.Regions - 1, size.Regions} {
		name := fmt.Sprintf("region %d alone", isolated)
		if isolated >= size.Regions {
			name = "every region alone"
		}
		fleet.isolatedRegion = isolated
		fmt.Fprintf(to, " %s for %v\n", name, span)
		regionByChange := map[uint64]int{}
		for _, elapsed := range []time.Duration{3 * time.Second, 8 * time.Second, span} {
			if err := fleet.Run(elapsed - previousCheck(elapsed, span)); err != nil {
				return err
			}
			for region := 0; region < size.Regions; region++ {
				fmt.Fprintf(to, "  %v on, region %d: %s\n", elapsed, region, fleet.regionStatus(region))
			}
			if elapsed == 8*time.Second {
				generation := fleet.generation()
				for region := 0; region < size.Regions; region++ {
					if i := slices.IndexFunc(fleet.members[:size.ControlProcesses], func(m *member) bool { return m.region == region }); i >= 0 {
						regionByChange[fleet.SubmitChangeAt(i, fleet.lanePatch(region+7), true, generation)] = region
					}
				}
			}
		}
		for id := uint64(1); id <= fleet.lastChange; id++ {
			if region, ok := regionByChange[id]; ok {
				fmt.Fprintf(to, "  a change asked in region %d: %s\n", region, fleet.changes[id])
			}
		}
		fleet.isolatedRegion = -1
		from := fleet.now
		for fleet.ReadyNodes() < size.Nodes && fleet.now.Sub(from) < time.Minute {
			if err := fleet.Run(50 * time.Millisecond); err != nil {
				return err
			}
		}
		fmt.Fprintf(to, "  joined again: %d of %d nodes ready after %v\n", fleet.ReadyNodes(), size.Nodes, fleet.now.Sub(from))
		if err := fleet.Run(5 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// previousCheck returns the time of the check before the one at the given time.
func previousCheck(at, span time.Duration) time.Duration {
	switch at {
	case span:
		return 8 * time.Second
	case 8 * time.Second:
		return 3 * time.Second
	}
	return 0
}

func (c *change) String() string {
	if !c.answered {
		return "no answer yet"
	}
	if c.code != ledger.Done {
		return fmt.Sprintf("%v after %v", c.code, c.ackedAfter)
	}
	reach := "not at every node"
	if c.everywhereAfter > 0 {
		reach = fmt.Sprintf("at every node after %v", c.everywhereAfter)
	}
	return fmt.Sprintf("in force as %d after %v, %s", c.generation, c.ackedAfter, reach)
}

func (f *Fleet) regionStatus(region int) string {
	ready, nodes, reasonCounts := 0, 0, map[string]int{}
	var controlProcesses []string
	for _, m := range f.members {
		if m.region != region {
			continue
		}
		if m.controlPlane != nil {
			text := m.name + " " + m.controlPlane.Agreement.Role().String()
			if !m.controlPlane.Relay.CoreFresh(f.now) {
				text += ", not ready"
			}
			controlProcesses = append(controlProcesses, text)
			continue
		}
		nodes++
		if m.node.Ready() {
			ready++
		} else {
			reasonCounts[m.node.NotReadyReason(f.now)]++
		}
	}
	var reasons []string
	for _, reason := range ident.SortedKeys(reasonCounts) {
		reasons = append(reasons, fmt.Sprintf("%d: %s", reasonCounts[reason], reason))
	}
	text := fmt.Sprintf("%d of %d nodes ready", ready, nodes)
	if len(reasons) > 0 {
		text += " (" + strings.Join(reasons, "; ") + ")"
	}
	return text + "; " + strings.Join(controlProcesses, "; ")
}
