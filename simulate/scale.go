package simulate

import (
	"fmt"
	"time"

	"sloeturn/ident"
	"sloeturn/ledger"
)

// ScaleReport holds the traffic and recovery times of a fleet of a given size.
type ScaleReport struct {
	Members               int
	Backends              int
	StartupTime           time.Duration
	BytesPerSecond        float64
	FramesPerSecond       float64
	BusiestBytesPerSecond float64
	ChangeAckTime         time.Duration
	CellRecoveryTime      time.Duration
	Violations            map[string]string
}

func (s *ScaleReport) String() string {
	return fmt.Sprintf("members %d, backends %d: all ready after %v; %.1f kB and %.0f frames a second for each member, %.1f kB for the busiest; a change acknowledged after %v; a lost cell's backends known again after %v; broken %v",
		s.Members, s.Backends, s.StartupTime, s.BytesPerSecond/1e3, s.FramesPerSecond, s.BusiestBytesPerSecond/1e3, s.ChangeAckTime, s.CellRecoveryTime, s.Violations)
}

// MeasureScale measures traffic and times of a fleet that is the given multiple of the usual one.
func MeasureScale(times int, seed int64) *ScaleReport {
	c := Config{Seed: seed, Controls: 4, Nodes: 11 * times, Cells: 4, Backends: 36 * times, Services: 2, Slots: 2 * max(1, times/2), RequestRate: 10}
	maxConnections := (c.Nodes + 2) * 6
	if maxConnections < MaxBackendConnections {
		maxConnections = MaxBackendConnections
	}
	w := New(c)
	w.maxConnections = maxConnections
	s := &ScaleReport{Members: c.Controls + c.Nodes, Backends: c.Backends, Violations: w.Violations}
	gen := uint64(0)
	w.after(500*ms, func() {
		w.SetDesired(0, w.Document(w.Nodes, 1, 2, maxConnections), "first", func(code ledger.Code, g uint64) { gen = g })
	})
	from := w.Now
	for w.Now.Sub(from) < 60*time.Second && (w.ReadyCount() < w.Nodes || gen == 0) {
		w.Run(50 * ms)
	}
	s.StartupTime = w.Now.Sub(from)
	w.Run(4 * time.Second)
	w.measuresTraffic, w.SentBytes, w.SentFrames, w.bytesSentBy = true, 0, 0, map[string]uint64{}
	w.Run(5 * time.Second)
	s.BytesPerSecond, s.FramesPerSecond = float64(w.SentBytes)/5/float64(s.Members), float64(w.SentFrames)/5/float64(s.Members)
	for _, n := range w.bytesSentBy {
		s.BusiestBytesPerSecond = max(s.BusiestBytesPerSecond, float64(n)/5)
	}
	w.measuresTraffic = false
	from = w.Now
	second := uint64(0)
	w.SetDesired(gen, w.Document(w.Nodes, 1, 1, maxConnections), "second", func(code ledger.Code, g uint64) { second = g })
	for w.Now.Sub(from) < 30*time.Second && second == 0 {
		w.Run(10 * ms)
	}
	s.ChangeAckTime = w.Now.Sub(from)
	w.Run(2 * time.Second)
	lostCell := w.Processes[1].Cell
	for _, p := range w.Processes {
		if p.Cell == lostCell {
			w.Kill(p)
		}
	}
	from = w.Now
	for w.Now.Sub(from) < 30*time.Second && !w.cellKnown(lostCell) {
		w.Run(20 * ms)
	}
	s.CellRecoveryTime = w.Now.Sub(from)
	return s
}

// cellKnown reports whether every running node has a table of the cell from its current holder that is less than 2 s
// old and has at least nine tenths of the cell's backends.
func (w *World) cellKnown(c string) bool {
	live, sees := 0, 0
	want := 0
	for _, b := range w.Backends {
		if b.cell == c {
			want++
		}
	}
	for _, p := range w.Processes {
		if p.up && p.node != nil {
			live++
			r := p.node.state.Relay
			k := r.Cells[ident.Cell(c)]
			if k != nil && r.CellFresh(k.Cell, p.clock()) && len(k.Backends) >= want*9/10 && k.AsOf.Add(2*time.Second).After(p.clock()) && uint64(k.Epoch) > 0 && w.heldAtEpoch(c, uint64(k.Epoch)) {
				sees++
			}
		}
	}
	return live > 0 && sees == live
}

// heldAtEpoch reports whether the cell has a running holder of that epoch.
func (w *World) heldAtEpoch(c string, e uint64) bool {
	l := w.Leader()
	if l == nil {
		return false
	}
	h := l.control.Ledger.CellHolders[ident.Cell(c)]
	if h == nil || h.Epoch != e {
		return false
	}
	for _, p := range w.Processes {
		if p.Name == h.Holder {
			return p.up
		}
	}
	return false
}
