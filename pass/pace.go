package pass

import (
	"math"
	"time"

	"sloeturn/ident"
)

const (
	paceTrust  = 3
	paceMost   = 40
	paceLife   = 10 * time.Second
	usualMost  = 200
	failedPace = 4
	usualLeast = 30
	farOut     = 2
	fullCost   = 0.15
	farCost    = 0.25
	freshCost  = 0.03
	lineCost   = 0.2
)

type mean struct {
	sum, n float64
}

type spread struct {
	mean
	sq float64
}

func (m *mean) add(v, most float64) {
	if m.n >= most {
		m.sum *= (most - 1) / m.n
		m.n = most - 1
	}
	m.sum += v
	m.n++
}

func (m *mean) value(trust float64) float64 { return m.sum / (m.n + trust) }

type pace struct {
	mean
	life string
	at   ident.Moment
}

// Pace tells how long a backend takes for a request, as a multiple of the usual time; 1 if unknown.
func (s *State) Pace(a ident.Addr) float64 {
	p := s.paces[a]
	if p == nil {
		return 1
	}
	return math.Exp(p.value(paceTrust))
}

func (s *State) paced(a ident.Addr, life string, log float64, now ident.Moment) {
	if b := s.backends[a]; b == nil || b.Life != life {
		return
	}
	p := s.paces[a]
	if p == nil {
		p = &pace{life: life, at: now}
		s.paces[a] = p
	}
	fade := math.Exp2(-float64(now.Sub(p.at)) / float64(paceLife))
	p.sum, p.n, p.at = p.sum*fade, p.n*fade, now
	p.add(log, paceMost)
}

// Timed hears how long a backend took for a visit of a kind; backends are compared within a kind.
func (s *State) Timed(a ident.Addr, life, kind string, took time.Duration, now ident.Moment) {
	log := math.Log(max(float64(took), float64(time.Millisecond)))
	u := s.usual[kind]
	if u == nil {
		u = &spread{}
		s.usual[kind] = u
	}
	if u.n >= usualMost {
		u.sq *= (usualMost - 1) / u.n
	}
	u.sq += log * log
	u.add(log, usualMost)
	s.paced(a, life, log-u.value(0), now)
}

// Unanswered hears that a request was canceled after a backend had taken that long over it. Its time
// would have been longer, so it counts only where it is already above the usual one of its kind.
func (s *State) Unanswered(a ident.Addr, life, kind string, took time.Duration, now ident.Moment) {
	if _, usual, ok := s.Overdue(kind); ok && took > usual {
		s.Timed(a, life, kind, took, now)
	}
}

// Overdue tells the time that few visits of a kind take, and the usual one; false until enough were seen.
func (s *State) Overdue(kind string) (late, usual time.Duration, ok bool) {
	u := s.usual[kind]
	if u == nil || u.n < usualLeast {
		return 0, 0, false
	}
	m := u.value(0)
	dev := math.Sqrt(max(0, u.sq/u.n-m*m))
	return time.Duration(math.Exp(m + farOut*dev)), time.Duration(math.Exp(m)), true
}

// Failed hears that a backend failed a visit.
func (s *State) Failed(a ident.Addr, life string, now ident.Moment) {
	s.paced(a, life, math.Log(failedPace), now)
}

func (s *State) cost(b *Backend, room int, idle bool) float64 {
	n := s.Pace(b.Addr) * (1 + fullCost*float64(s.load[b.Addr])/float64(room))
	if over := s.load[b.Addr] + 1 - b.Share; over > 0 {
		n *= 1 + lineCost + float64(over)/float64(max(1, b.Slots))
	}
	if !b.Near {
		n *= 1 + farCost
	}
	if !idle {
		n *= 1 + freshCost
	}
	return n
}
