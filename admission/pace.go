package admission

import (
	"math"
	"time"

	"sloeturn/ident"
)

// An estimate of a backend's relative latency is a mean of logarithms, pulled to 1 by the weight of
// latencyPriorWeight samples; the weight of its samples halves every latencyHalfLife. A kind of
// request has its baseline after baselineMinSamples samples, and is overdue overdueDeviations
// standard deviations above it. The penalties are added to the cost by which backends are compared.
const (
	latencyPriorWeight   = 3
	latencyMaxSamples    = 40
	latencyHalfLife      = 10 * time.Second
	baselineMaxSamples   = 200
	failureLatencyFactor = 4
	baselineMinSamples   = 30
	overdueDeviations    = 2
	loadPenalty          = 0.15
	remotePenalty        = 0.25
	newConnectionPenalty = 0.03
	overflowPenalty      = 0.2
)

// mean is a running mean. Beyond a number of samples, each new one takes the place of an average old one.
type mean struct {
	sum, count float64
}

// baseline is the distribution of the logarithms of the durations of one kind of request.
type baseline struct {
	mean
	squares float64
}

func (m *mean) add(v, maxCount float64) {
	if m.count >= maxCount {
		m.sum *= (maxCount - 1) / m.count
		m.count = maxCount - 1
	}
	m.sum += v
	m.count++
}

// value is the mean, pulled to zero by the given weight.
func (m *mean) value(priorWeight float64) float64 { return m.sum / (m.count + priorWeight) }

// latencyEstimate is the relative latency of one incarnation of a backend, as a mean of logarithms.
type latencyEstimate struct {
	mean
	incarnation string
	updatedAt   ident.Moment
}

// RelativeLatency returns the time that a backend takes for a request as a multiple of the usual time; 1 if unknown.
func (s *State) RelativeLatency(a ident.Addr) float64 {
	estimate := s.latencies[a]
	if estimate == nil {
		return 1
	}
	return math.Exp(estimate.value(latencyPriorWeight))
}

// updateLatency adds the logarithm of a relative duration to the estimate of a backend.
func (s *State) updateLatency(a ident.Addr, incarnation string, logarithm float64, now ident.Moment) {
	if b := s.backends[a]; b == nil || b.Incarnation != incarnation {
		return
	}
	estimate := s.latencies[a]
	if estimate == nil {
		estimate = &latencyEstimate{incarnation: incarnation, updatedAt: now}
		s.latencies[a] = estimate
	}
	decay := math.Exp2(-float64(now.Sub(estimate.updatedAt)) / float64(latencyHalfLife))
	estimate.sum, estimate.count, estimate.updatedAt = estimate.sum*decay, estimate.count*decay, now
	estimate.add(logarithm, latencyMaxSamples)
}

// ObserveDuration records how long a backend took for a request of a kind. Backends are compared
// within a kind.
func (s *State) ObserveDuration(a ident.Addr, incarnation, kind string, took time.Duration, now ident.Moment) {
	logarithm := math.Log(max(float64(took), float64(time.Millisecond)))
	kindBaseline := s.baselines[kind]
	if kindBaseline == nil {
		kindBaseline = &baseline{}
		s.baselines[kind] = kindBaseline
	}
	if kindBaseline.count >= baselineMaxSamples {
		kindBaseline.squares *= (baselineMaxSamples - 1) / kindBaseline.count
	}
	kindBaseline.squares += logarithm * logarithm
	kindBaseline.add(logarithm, baselineMaxSamples)
	s.updateLatency(a, incarnation, logarithm-kindBaseline.value(0), now)
}

// ObserveCanceled records that a request was canceled after a backend had worked on it for a time. It
// would have taken longer, so it counts only if the time is already above the usual one of its kind.
func (s *State) ObserveCanceled(a ident.Addr, incarnation, kind string, took time.Duration, now ident.Moment) {
	if _, usual, ok := s.LatencyThresholds(kind); ok && took > usual {
		s.ObserveDuration(a, incarnation, kind, took, now)
	}
}

// LatencyThresholds returns the time that few requests of a kind exceed, and the usual one. It returns
// false until enough were seen.
func (s *State) LatencyThresholds(kind string) (late, usual time.Duration, ok bool) {
	kindBaseline := s.baselines[kind]
	if kindBaseline == nil || kindBaseline.count < baselineMinSamples {
		return 0, 0, false
	}
	logMean := kindBaseline.value(0)
	deviation := math.Sqrt(max(0, kindBaseline.squares/kindBaseline.count-logMean*logMean))
	return time.Duration(math.Exp(logMean + overdueDeviations*deviation)), time.Duration(math.Exp(logMean)), true
}

// ObserveFailure records that a backend failed a request; it counts as a slow one.
func (s *State) ObserveFailure(a ident.Addr, incarnation string, now ident.Moment) {
	s.updateLatency(a, incarnation, math.Log(failureLatencyFactor), now)
}

// cost is what backends are compared by: the relative latency, raised by penalties for load, for slots
// beyond this node's share, for another cell and for a new connection.
func (s *State) cost(backend *Backend, capacity int, idle bool) float64 {
	cost := s.RelativeLatency(backend.Addr) * (1 + loadPenalty*float64(s.load[backend.Addr])/float64(capacity))
	if overflow := s.load[backend.Addr] + 1 - backend.Share; overflow > 0 {
		cost *= 1 + overflowPenalty + float64(overflow)/float64(max(1, backend.Slots))
	}
	if !backend.SameCell {
		cost *= 1 + remotePenalty
	}
	if !idle {
		cost *= 1 + newConnectionPenalty
	}
	return cost
}
