package cell

import (
	"sort"

	"sloeturn/ident"
)

type Share struct {
	Addr ident.Addr
	Work int
}

func Deal(list []Share, nodes []string, wants []uint32, only bool, node string, turn uint64) map[ident.Addr]int {
	at := sort.SearchStrings(nodes, node)
	if at == len(nodes) || nodes[at] != node {
		return nil
	}
	var all, sum, most uint64
	for _, w := range wants {
		all += uint64(w)
	}
	upto := make([]uint64, len(nodes))
	for i := range nodes {
		if only && all > 0 {
			sum += uint64(wants[i])
			upto[i] = sum
			continue
		}
		sum++
		if all > 0 {
			sum += 2*uint64(wants[i]) + all/uint64(len(nodes))
		}
		upto[i] = sum
	}
	total := uint64(0)
	for _, b := range list {
		total += uint64(b.Work)
		most = max(most, uint64(b.Work))
	}
	out := map[ident.Addr]int{}
	n, i := uint64(0), 0
	for level := uint64(0); level < most; level++ {
		for _, b := range list {
			if uint64(b.Work) <= level {
				continue
			}
			for upto[i] <= (n*sum+turn%sum)/total {
				i++
			}
			if i == at {
				out[b.Addr]++
			}
			n++
		}
	}
	return out
}
