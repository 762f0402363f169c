package hollow

import (
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// Plan is what a run measures: the size From or, for each variable in Vary, a sweep from it. Window is the time
// measured and Limit the longest wall-clock time. With Live, Real nodes and all control processes are processes of
// the programs in Bin, with logs and data below Dir; otherwise all are simulated.
type Plan struct {
	Size          Size
	Variables     []string
	Window        time.Duration
	TimeLimit     time.Duration
	Seed          int64
	CostBreakdown bool
	Live          bool
	RealNodes     int
	BinDir        string
	RunDir        string
}

func (p Plan) runLive(size Size, out io.Writer) error {
	dir, err := os.MkdirTemp(p.RunDir, "hollow-")
	if err != nil {
		return merry.Wrap(ErrRun, merry.WithCause(err))
	}
	fleet := &LiveFleet{Size: size, RealNodes: min(p.RealNodes, size.Nodes), BinDir: p.BinDir, RunDir: dir, LoopbackSubnet: 30, SettleDelay: 2 * p.Window}
	defer fleet.Close()
	if err := fleet.Start(); err != nil {
		return err
	}
	return fleet.MeasureAndPrint(out, p.Window)
}

func (p Plan) runLiveSweep(out io.Writer) error {
	if len(p.Variables) == 0 {
		return p.runLive(p.Size, out)
	}
	deadline := time.Now().Add(p.TimeLimit)
	for _, name := range p.Variables {
		for _, value := range LiveSweepValues[name] {
			if time.Now().After(deadline) {
				return merry.Wrap(ErrRun, merry.AppendMessagef("the time limit of %v has passed", p.TimeLimit))
			}
			if err := p.runLive(p.Size.With(name, value), out); err != nil {
				return err
			}
		}
	}
	return nil
}

// Run carries out the plan and prints the results, for simulated sweeps also the slope of each cost. It fails with
// ErrSize if the desired state of From has faults.
func (p Plan) Run(out io.Writer) error {
	faults := p.Size.Faults()
	fmt.Fprintf(out, "from %v: desired state %.1f kB, a backend must accept %d connections, %d faults found by the check\n", p.Size, float64(len(p.Size.DesiredState()))/1e3, p.Size.PeakConnections(0), len(faults))
	for _, fault := range faults[:min(5, len(faults))] {
		fmt.Fprintf(out, "  %s %s\n", fault.Path, fault.Text)
	}
	if len(faults) > 0 {
		return merry.Wrap(ErrSize, merry.AppendMessage("the desired state of this size is invalid"))
	}
	if p.Live {
		return p.runLiveSweep(out)
	}
	deadline := time.Now().Add(p.TimeLimit)
	if len(p.Variables) == 0 {
		result, err := Measure(p.Size, p.Seed, p.Window, time.Until(deadline))
		if err != nil {
			return err
		}
		result.Print(out, p.CostBreakdown)
		return nil
	}
	for _, name := range p.Variables {
		var results []*Result
		for _, value := range SweepValues[name] {
			result, err := Measure(p.Size.With(name, value), p.Seed, p.Window, time.Until(deadline))
			if err != nil {
				return err
			}
			result.Print(out, p.CostBreakdown)
			results = append(results, result)
		}
		printSlopes(out, name, SweepValues[name], results)
	}
	return nil
}

func (r *Result) costsOf(name string) *RoleCosts {
	i := slices.IndexFunc(r.Roles, func(costs *RoleCosts) bool { return costs.Name == name })
	if i < 0 {
		return nil
	}
	return r.Roles[i]
}

var fittedMetrics = []struct {
	name string
	of   func(k *RoleCosts) float64
}{
	{"messages in and out a second", func(k *RoleCosts) float64 { return k.FramesIn + k.FramesOut }},
	{"kB in a second", func(k *RoleCosts) float64 { return k.KBIn }},
	{"kB out a second", func(k *RoleCosts) float64 { return k.KBOut }},
	{"core %", func(k *RoleCosts) float64 { return k.CPUPercent }},
	{"heap MB", func(k *RoleCosts) float64 { return k.HeapMB }},
}

// LinearFit returns the least-squares line through the points and the largest relative error of a point.
func LinearFit(xs, ys []float64) (base, slope, maxError float64) {
	n, meanX, meanY := float64(len(xs)), 0.0, 0.0
	for i := range xs {
		meanX, meanY = meanX+xs[i]/n, meanY+ys[i]/n
	}
	covariance, variance := 0.0, 0.0
	for i := range xs {
		covariance, variance = covariance+(xs[i]-meanX)*(ys[i]-meanY), variance+(xs[i]-meanX)*(xs[i]-meanX)
	}
	if variance > 0 {
		slope = covariance / variance
	}
	base = meanY - slope*meanX
	for i := range xs {
		if ys[i] != 0 {
			maxError = max(maxError, math.Abs(base+slope*xs[i]-ys[i])/math.Abs(ys[i]))
		}
	}
	return base, slope, maxError
}

// printSlopes prints a linear fit of each metric of each role over the values of a variable. A role needs at least
// 3 points.
func printSlopes(out io.Writer, name string, values []int, results []*Result) {
	fmt.Fprintf(out, "slopes of %s over %v\n", name, values)
	roles := map[string]bool{}
	for _, result := range results {
		for _, costs := range result.Roles {
			roles[costs.Name] = true
		}
	}
	for _, role := range sortedNames(roles) {
		for _, metric := range fittedMetrics {
			var xs, ys []float64
			for i, result := range results {
				if costs := result.costsOf(role); costs != nil {
					xs, ys = append(xs, float64(values[i])), append(ys, metric.of(costs))
				}
			}
			if len(xs) < 3 {
				continue
			}
			base, slope, maxError := LinearFit(xs, ys)
			fmt.Fprintf(out, "  %-18s %-30s %10.4g + %10.4g a piece, off by at most %3.0f %%; last to first %.2f\n", role, metric.name, base, slope, 100*maxError, ys[len(ys)-1]/ys[0])
		}
	}
}
