package simulate

import (
	"fmt"
	"time"

	"sloeturn/ledger"
)

const catchUpTime = 4 * time.Second

func init() { Scenes = append(Scenes, replacedScene) }

var replacedScene = &Scene{Name: "replaced", Description: "disk holders are replaced, wiped or leave, the next loss coming catchUp later, again and again", configure: func(c *Config) {
	c.Controls = []int{3, 4, 8}[c.Seed%3]
	c.MaxLosses = 1 + c.Controls/8
	c.Spares, c.VoterReplaceAfter, c.DrainTimeout = 16, catchUpTime/4, 5700*ms
	if c.DisabledGuard == "replace" {
		c.VoterReplaceAfter = 10 * time.Second
	}
}, run: func(w *World, r *Result, gen *uint64) {
	w.Run(2 * time.Second)
	for turn := 0; turn < 7; turn++ {
		for i := 0; i < w.MaxLosses; i++ {
			w.loseNext(turn)
		}
		w.checkChangeAnswered(gen, fmt.Sprint("replaced-", turn))
		w.Run(catchUpTime - 1500*ms)
		if w.Leader() == nil {
			w.ReportViolation("no leader catchUp after a loss", "turn %d", turn)
		}
	}
}}

// loseNext takes one control process away and provides its successor: a machine at another address, or the same one
// without its disk.
func (w *World) loseNext(turn int) {
	var list []*Process
	for _, p := range w.Processes {
		if p.disk != nil && p.up && !p.removed {
			list = append(list, p)
		}
	}
	p := list[w.Rand.Intn(len(list))]
	if l := w.Leader(); l != nil && w.Rand.Intn(2) == 0 {
		p = l
	}
	switch w.Rand.Intn(3) {
	case 0:
		w.Wipe(p)
		w.Start(p)
		return
	case 1:
		p.step(stopControl())
	default:
		w.Kill(p)
	}
	p.removed = true
	for _, q := range w.Processes[len(w.Processes)-w.Spares:] {
		if q.removed && !q.up && q.starts == 0 {
			q.removed = false
			w.Start(q)
			return
		}
	}
}

// checkChangeAnswered submits a change and runs 1.5 s; the change must be answered by the time of the next loss.
func (w *World) checkChangeAnswered(gen *uint64, id string) {
	w.refreshGeneration(gen)
	taken := false
	w.SetDesired(*gen, w.Document(w.Nodes, 0, 2+len(id)%2, MaxBackendConnections), id, func(code ledger.Code, g uint64) {
		taken = true
		w.refreshGeneration(gen)
	})
	w.Run(1500 * ms)
	w.after(catchUpTime-1500*ms-ms, func() {
		if !taken {
			w.ReportViolation("an order without an answer beside one loss", "%s", id)
		}
	})
}
