package cell

import (
	"sort"

	"sloeturn/ident"
)

// BackendSlots is the number of slots that a backend offers to all nodes together.
type BackendSlots struct {
	Addr  ident.Addr
	Slots int
}

// Distribute returns how many slots of each backend are the given node's. Every node computes the same
// distribution from the same arguments: nodes, sorted, and their demand in the same order. Slots are
// dealt out one level of all backends after the other, in proportion to the weights of the nodes: an
// equal part for each and a part by its demand, or by demand alone if only is set. turn rotates who
// begins. The parts of all nodes add up to all slots.
func Distribute(list []BackendSlots, nodes []string, wants []uint32, only bool, node string, turn uint64) map[ident.Addr]int {
	self := sort.SearchStrings(nodes, node)
	if self == len(nodes) || nodes[self] != node {
		return nil
	}
	var totalDemand, totalWeight, maxSlots uint64
	for _, w := range wants {
		totalDemand += uint64(w)
	}
	weightUpTo := make([]uint64, len(nodes))
	for i := range nodes {
		if only && totalDemand > 0 {
			totalWeight += uint64(wants[i])
			weightUpTo[i] = totalWeight
			continue
		}
		totalWeight++
		if totalDemand > 0 {
			totalWeight += 2*uint64(wants[i]) + totalDemand/uint64(len(nodes))
		}
		weightUpTo[i] = totalWeight
	}
	totalSlots := uint64(0)
	for _, b := range list {
		totalSlots += uint64(b.Slots)
		maxSlots = max(maxSlots, uint64(b.Slots))
	}
	out := map[ident.Addr]int{}
	dealt, owner := uint64(0), 0
	for level := uint64(0); level < maxSlots; level++ {
		for _, b := range list {
			if uint64(b.Slots) <= level {
				continue
			}
			for weightUpTo[owner] <= (dealt*totalWeight+turn%totalWeight)/totalSlots {
				owner++
			}
			if owner == self {
				out[b.Addr]++
			}
			dealt++
		}
	}
	return out
}
