package hollow

import (
	"fmt"
	"math/rand"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/control"
	"sloeturn/data"
	"sloeturn/duty"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/pass"
	"sloeturn/wire"
)

const (
	Round    = duty.TickEvery
	headSize = 4
	diskTime = 2
	workTime = 10
)

type parcel struct {
	to   int
	from *member
	body []byte
}

type late struct {
	at int
	e  any
}

type Tally struct {
	In, Out           uint64
	BytesIn, BytesOut uint64
	Disk              uint64
	Busy              time.Duration
	Worst             time.Duration
	Notes             uint64
	Guards            uint64
	Guard             time.Duration
	Kinds             map[string]time.Duration
	Frames            map[string]uint64
}

type member struct {
	w      *World
	at     int
	name   string
	addr   string
	zone   string
	region int
	node   *data.State
	head   *control.State
	rand   *rand.Rand
	inbox  []parcel
	later  []late
	outbox []parcel
	idle   map[pass.Key][]int
	trips  map[ident.RequestID]pass.Key
	visits int
	owed   float64
	Tally
}

func spent() time.Duration {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}

func (m *member) count(kind string, from time.Duration) time.Duration {
	now := spent()
	m.Kinds[kind] += now - from
	return now
}

func (m *member) step(e any) {
	if m.head != nil {
		m.head.Step(m.w.now, e)
	} else {
		m.node.Step(m.w.now, e)
	}
}

func (m *member) wait(rounds int, e any) { m.later = append(m.later, late{m.w.round + rounds, e}) }

func (m *member) turn() {
	start := spent()
	at := start
	for _, p := range m.inbox {
		if m.w.over() {
			return
		}
		f := &wire.Frame{}
		if proto.Unmarshal(p.body, f) != nil {
			continue
		}
		at = m.count("frames read", at)
		m.In++
		m.BytesIn += uint64(len(p.body) + headSize)
		if m.head != nil {
			m.step(control.Got{Frame: f})
		} else {
			m.step(data.Got{Frame: f})
		}
		at = m.count(kind(f), at)
	}
	m.inbox = m.inbox[:0]
	due := m.later
	m.later = nil
	most := time.Duration(0)
	for _, l := range due {
		if l.at > m.w.round {
			m.later = append(m.later, l)
			continue
		}
		if m.w.over() {
			return
		}
		if a, ok := l.e.(*wire.Announce); ok {
			m.beat(a)
		} else {
			m.step(l.e)
		}
		if _, ok := l.e.(data.GuardMade); ok {
			now := m.count("guards made", at)
			most, m.Guards, at = max(most, now-at), m.Guards+1, now
		}
	}
	m.Guard = max(m.Guard, most)
	at = m.count("beats, guards, visits", at)
	if m.node != nil {
		m.arrive()
		at = m.count("beats, guards, visits", at)
		m.step(data.Tick{})
		at = m.count("tick", at)
		m.obey(m.node.Take())
	} else {
		m.step(control.Tick{})
		at = m.count("tick", at)
		m.head.Settle(m.w.now)
		at = m.count("settle", at)
		m.obey(m.head.Take())
	}
	m.count("frames written, rest", at)
	took := spent() - start
	m.Busy += took
	m.Worst = max(m.Worst, took)
}

func kind(f *wire.Frame) string {
	s := fmt.Sprintf("%T", f.Body)
	return "heard " + s[len("*wire.Frame_"):]
}

func (m *member) beat(a *wire.Announce) {
	if m.head != nil {
		m.head.Relay.Address(a, ident.Cell(m.zone), m.w.now)
		duty.Vouch(a, true)
		m.step(control.Announce{Token: uint64(m.w.round), Announce: a})
		return
	}
	m.node.Relay.Address(a, ident.Cell(m.zone), m.w.now)
	duty.Vouch(a, true)
	m.visits++
	m.step(data.Announce{Token: uint64(m.visits) << 1, Announce: a})
}

func (m *member) arrive() {
	if !m.node.Ready() {
		return
	}
	if m.w.round%50 == m.at%50 {
		m.sweep()
	}
	for m.owed += float64(m.w.Visits) * Round.Seconds() * 2 * m.rand.Float64(); m.owed >= 1; m.owed-- {
		name := ident.Lane(m.w.lane(m.rand.Intn(m.w.Lanes)))
		rule := m.node.Desired().Lanes[name]
		if rule == nil {
			continue
		}
		m.visits++
		id := ident.RequestID(fmt.Sprintf("%s-%d", m.name, m.visits))
		m.step(data.Arrive{Arrival: forward.Arrival{ID: id, Lane: name, Rule: rule, Arrived: m.w.now, Deadline: m.w.now.Add(3 * time.Second)}})
	}
}

func (m *member) sweep() {
	old := m.w.round - int(pass.IdleLife/Round)
	for k, list := range m.idle {
		for len(list) > 0 && list[0] < old {
			list = list[1:]
			m.wait(0, data.IdleBroke{Key: k})
		}
		if m.idle[k] = list; len(list) == 0 {
			delete(m.idle, k)
		}
	}
}

func (m *member) send(e wire.Send) {
	e.Frame.From, e.Frame.Addr = m.name, m.addr
	b, err := proto.Marshal(e.Frame)
	to, ok := m.w.place[e.To]
	if err != nil || !ok {
		return
	}
	m.Out++
	m.BytesOut += uint64(len(b) + headSize)
	m.Frames[kind(e.Frame)[len("heard "):]] += uint64(len(b) + headSize)
	m.outbox = append(m.outbox, parcel{to, m, b})
}

func (m *member) obey(list []any) {
	for _, e := range list {
		switch e := e.(type) {
		case wire.Send:
			m.send(e)
		case agreement.Persist:
			for _, r := range e.Records {
				m.Disk += uint64(proto.Size(r))
			}
			m.wait(diskTime, control.Synced{Seq: e.Seq})
		case control.Changed:
			m.w.told(e)
		case control.Announced:
			m.w.heard(e.Code)
		case data.Announced:
			m.w.heard(e.Code)
		case data.Guard:
			m.wait(1, data.GuardMade{Addr: e.Addr, Life: e.Life, Named: m.w.named[e.Addr]})
		case data.GuardEnd:
			m.wait(1, data.GuardLost{Addr: e.Addr, Life: e.Life, Why: "ended"})
		case data.GuardAsk:
			m.wait(1, data.GuardSound(e))
		case forward.Dial:
			if e.Reuse && len(m.idle[e.Key]) > 0 {
				m.idle[e.Key] = m.idle[e.Key][1:]
			}
			m.trips[e.Request] = e.Key
			m.wait(1, data.Connected{Request: e.Request, Attempt: e.Attempt})
		case forward.Write:
			m.wait(workTime, data.Ended{Request: e.Request, Attempt: e.Attempt, Ending: forward.Complete, Status: 200})
			m.wait(workTime, data.Freed{Key: m.trips[e.Request], Keep: true})
			m.idle[m.trips[e.Request]] = append(m.idle[m.trips[e.Request]], m.w.round+workTime)
			delete(m.trips, e.Request)
		case forward.Drop:
			m.wait(1, data.Freed{Key: m.trips[e.Request], Keep: false})
			delete(m.trips, e.Request)
		case forward.Deliver:
			m.wait(1, data.Written{Request: e.Request})
			m.w.served.Add(1)
		case forward.Answer:
			m.w.refused.Add(1)
		case pass.Close:
			for i := 0; i < e.Count && len(m.idle[e.Key]) > 0; i++ {
				m.idle[e.Key] = m.idle[e.Key][1:]
				m.wait(1, data.IdleBroke{Key: e.Key})
			}
		case duty.Decision:
			m.Notes++
		case forward.Trace:
			m.Notes++
		}
	}
}
