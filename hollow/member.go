package hollow

import (
	"fmt"
	"math/rand"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"sloeturn/admission"
	"sloeturn/agreement"
	"sloeturn/control"
	"sloeturn/daemon"
	"sloeturn/data"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/wire"
)

// RoundInterval is the simulated time of a round. frameHeaderBytes is the length prefix of a frame on the wire.
// A write to disk and the service time of a request are given in rounds.
const (
	RoundInterval     = daemon.TickInterval
	frameHeaderBytes  = 4
	diskWriteRounds   = 2
	serviceTimeRounds = 10
)

// packet is an encoded frame on its way to the member of index to.
type packet struct {
	to   int
	from *member
	body []byte
}

// delayedEvent is an event that its member handles in the given round.
type delayedEvent struct {
	round int
	event any
}

// Counters holds what a member has sent, received, written and spent since the last reset. CPUByKind is the CPU time
// by kind of work.
type Counters struct {
	FramesIn, FramesOut uint64
	BytesIn, BytesOut   uint64
	DiskBytes           uint64
	CPUTime             time.Duration
	MaxRoundTime        time.Duration
	LogEntries          uint64
	ProbesStarted       uint64
	MaxProbeStart       time.Duration
	CPUByKind           map[string]time.Duration
	BytesOutByFrame     map[string]uint64
}

// member is a simulated control process or node: exactly one of controlPlane and node is set. idleConns holds the
// rounds in which the idle connections of a pool were last used.
type member struct {
	fleet        *Fleet
	index        int
	name         string
	addr         string
	zone         string
	region       int
	node         *data.State
	controlPlane *control.State
	rand         *rand.Rand
	inbox        []packet
	delayed      []delayedEvent
	outbox       []packet
	idleConns    map[admission.Key][]int
	poolKeys     map[ident.RequestID]admission.Key
	requestCount int
	arrivalsDue  float64
	Counters
}

// threadCPUTime returns the CPU time of the calling thread.
func threadCPUTime() time.Duration {
	var clock unix.Timespec
	unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &clock)
	return time.Duration(clock.Nano())
}

// chargeCPU adds the CPU time since from to the given kind of work and returns the current CPU time.
func (m *member) chargeCPU(kind string, from time.Duration) time.Duration {
	now := threadCPUTime()
	m.CPUByKind[kind] += now - from
	return now
}

func (m *member) step(event any) {
	if m.controlPlane != nil {
		m.controlPlane.Step(m.fleet.now, event)
	} else {
		m.node.Step(m.fleet.now, event)
	}
}

// schedule delivers an event to the member after the given number of rounds.
func (m *member) schedule(rounds int, event any) {
	m.delayed = append(m.delayed, delayedEvent{m.fleet.round + rounds, event})
}

// runRound handles the received frames and due events, then a tick, and applies the effects. It returns early once
// the time limit has passed.
func (m *member) runRound() {
	start := threadCPUTime()
	checkpoint := start
	for _, received := range m.inbox {
		if m.fleet.pastTimeLimit() {
			return
		}
		frame := &wire.Frame{}
		if proto.Unmarshal(received.body, frame) != nil {
			continue
		}
		checkpoint = m.chargeCPU("frames read", checkpoint)
		m.FramesIn++
		m.BytesIn += uint64(len(received.body) + frameHeaderBytes)
		if m.controlPlane != nil {
			m.step(control.FrameReceived{Frame: frame})
		} else {
			m.step(data.FrameReceived{Frame: frame})
		}
		checkpoint = m.chargeCPU(frameKind(frame), checkpoint)
	}
	m.inbox = m.inbox[:0]
	due := m.delayed
	m.delayed = nil
	longest := time.Duration(0)
	for _, delayed := range due {
		if delayed.round > m.fleet.round {
			m.delayed = append(m.delayed, delayed)
			continue
		}
		if m.fleet.pastTimeLimit() {
			return
		}
		if announce, ok := delayed.event.(*wire.Announce); ok {
			m.announce(announce)
		} else {
			m.step(delayed.event)
		}
		if _, ok := delayed.event.(data.ProbeConnected); ok {
			now := m.chargeCPU("guards made", checkpoint)
			longest, m.ProbesStarted, checkpoint = max(longest, now-checkpoint), m.ProbesStarted+1, now
		}
	}
	m.MaxProbeStart = max(m.MaxProbeStart, longest)
	checkpoint = m.chargeCPU("beats, guards, visits", checkpoint)
	if m.node != nil {
		m.generateRequests()
		checkpoint = m.chargeCPU("beats, guards, visits", checkpoint)
		m.step(data.Tick{})
		checkpoint = m.chargeCPU("tick", checkpoint)
		m.applyEffects(m.node.TakeEffects())
	} else {
		m.step(control.Tick{})
		checkpoint = m.chargeCPU("tick", checkpoint)
		m.controlPlane.Settle(m.fleet.now)
		checkpoint = m.chargeCPU("settle", checkpoint)
		m.applyEffects(m.controlPlane.Take())
	}
	m.chargeCPU("frames written, rest", checkpoint)
	spent := threadCPUTime() - start
	m.CPUTime += spent
	m.MaxRoundTime = max(m.MaxRoundTime, spent)
}

// frameKind names a received frame by the type of its body.
func frameKind(frame *wire.Frame) string {
	typeName := fmt.Sprintf("%T", frame.Body)
	return "heard " + typeName[len("*wire.Frame_"):]
}

// announce hands an announcement of a backend to the member, as its HTTP server would.
func (m *member) announce(announce *wire.Announce) {
	if m.controlPlane != nil {
		m.controlPlane.Relay.CompleteAnnouncement(announce, ident.Cell(m.zone), m.fleet.now)
		daemon.SetConnectionOpen(announce, true)
		m.step(control.Announce{Token: uint64(m.fleet.round), Announce: announce})
		return
	}
	m.node.Relay.CompleteAnnouncement(announce, ident.Cell(m.zone), m.fleet.now)
	daemon.SetConnectionOpen(announce, true)
	m.requestCount++
	m.step(data.AnnounceReceived{Token: uint64(m.requestCount) << 1, Announce: announce})
}

// generateRequests lets requests arrive at random at a ready node, RequestsPerSecond of them a second on average.
func (m *member) generateRequests() {
	if !m.node.Ready() {
		return
	}
	if m.fleet.round%50 == m.index%50 {
		m.expireIdleConns()
	}
	for m.arrivalsDue += float64(m.fleet.RequestsPerSecond) * RoundInterval.Seconds() * 2 * m.rand.Float64(); m.arrivalsDue >= 1; m.arrivalsDue-- {
		name := ident.Lane(m.fleet.lane(m.rand.Intn(m.fleet.Lanes)))
		rule := m.node.Desired().Lanes[name]
		if rule == nil {
			continue
		}
		m.requestCount++
		id := ident.RequestID(fmt.Sprintf("%s-%d", m.name, m.requestCount))
		m.step(data.RequestArrived{Arrival: forward.Arrival{ID: id, Lane: name, Rule: rule, Arrived: m.fleet.now, Deadline: m.fleet.now.Add(3 * time.Second)}})
	}
}

// expireIdleConns closes connections that were idle for longer than admission.IdleTimeout.
func (m *member) expireIdleConns() {
	oldest := m.fleet.round - int(admission.IdleTimeout/RoundInterval)
	for key, lastUsed := range m.idleConns {
		for len(lastUsed) > 0 && lastUsed[0] < oldest {
			lastUsed = lastUsed[1:]
			m.schedule(0, data.IdleConnectionEnded{Key: key})
		}
		if m.idleConns[key] = lastUsed; len(lastUsed) == 0 {
			delete(m.idleConns, key)
		}
	}
}

// send queues a frame for delivery at the end of the round. Frames to unknown addresses are lost.
func (m *member) send(send wire.Send) {
	send.Frame.From, send.Frame.Addr = m.name, m.addr
	body, err := proto.Marshal(send.Frame)
	receiver, known := m.fleet.indexByAddr[send.To]
	if err != nil || !known {
		return
	}
	m.FramesOut++
	m.BytesOut += uint64(len(body) + frameHeaderBytes)
	m.BytesOutByFrame[frameKind(send.Frame)[len("heard "):]] += uint64(len(body) + frameHeaderBytes)
	m.outbox = append(m.outbox, packet{receiver, m, body})
}

// applyEffects carries out the effects of a step. Disk, probes, backends and clients are simulated by events that
// arrive some rounds later.
func (m *member) applyEffects(effects []any) {
	for _, e := range effects {
		switch e := e.(type) {
		case wire.Send:
			m.send(e)
		case agreement.RecordBatch:
			for _, record := range e.Records {
				m.DiskBytes += uint64(proto.Size(record))
			}
			m.schedule(diskWriteRounds, control.DiskSynced{Seq: e.Seq})
		case control.ChangeResult:
			m.fleet.changeAnswered(e)
		case control.AnnounceResult:
			m.fleet.countAnnounce(e.Code)
		case data.AnnounceAnswered:
			m.fleet.countAnnounce(e.Code)
		case data.StartProbe:
			m.schedule(1, data.ProbeConnected{Addr: e.Addr, Incarnation: e.Incarnation, ServiceNamed: m.fleet.serviceNamed[e.Addr]})
		case data.StopProbe:
			m.schedule(1, data.ProbeLost{Addr: e.Addr, Incarnation: e.Incarnation, Why: "ended"})
		case data.ProbeNow:
			m.schedule(1, data.ProbeSucceeded(e))
		case forward.Dial:
			if e.Reuse && len(m.idleConns[e.Key]) > 0 {
				m.idleConns[e.Key] = m.idleConns[e.Key][1:]
			}
			m.poolKeys[e.Request] = e.Key
			m.schedule(1, data.Connected{Request: e.Request, Attempt: e.Attempt})
		case forward.Write:
			m.schedule(serviceTimeRounds, data.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Ending: forward.Complete, Status: 200})
			m.schedule(serviceTimeRounds, data.ConnectionFreed{Key: m.poolKeys[e.Request], Keep: true})
			m.idleConns[m.poolKeys[e.Request]] = append(m.idleConns[m.poolKeys[e.Request]], m.fleet.round+serviceTimeRounds)
			delete(m.poolKeys, e.Request)
		case forward.ReturnConnection:
			m.schedule(1, data.ConnectionFreed{Key: m.poolKeys[e.Request], Keep: false})
			delete(m.poolKeys, e.Request)
		case forward.Deliver:
			m.schedule(1, data.AnswerWritten{Request: e.Request})
			m.fleet.served.Add(1)
		case forward.Answer:
			m.fleet.refused.Add(1)
		case admission.Close:
			for i := 0; i < e.Count && len(m.idleConns[e.Key]) > 0; i++ {
				m.idleConns[e.Key] = m.idleConns[e.Key][1:]
				m.schedule(1, data.IdleConnectionEnded{Key: e.Key})
			}
		case daemon.Decision:
			m.LogEntries++
		case forward.Trace:
			m.LogEntries++
		}
	}
}
