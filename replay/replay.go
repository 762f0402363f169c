// Package replay feeds recorded events to the state machines of admission and forwarding and writes
// their decisions, for offline use in the operators' shell.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"sloeturn/admission"
	"sloeturn/cell"
	"sloeturn/desired"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/ledger"
)

// playerCell names the cell that all backends of a replay belong to.
const playerCell = "replay"

// Record is a decision, or an error in the input line that InputLine numbers.
type Record struct {
	Position     uint64          `json:"position"`
	AtMs         int64           `json:"atMs"`
	Generation   uint64          `json:"generation"`
	Decision     string          `json:"decision"`
	RequestID    string          `json:"visit,omitempty"`
	Lane         string          `json:"lane,omitempty"`
	Backend      string          `json:"backend,omitempty"`
	Status       int             `json:"status,omitempty"`
	Ran          string          `json:"ran,omitempty"`
	Reason       string          `json:"reason,omitempty"`
	RetryAfterMs int64           `json:"retryAfterMs,omitempty"`
	InputLine    int             `json:"line,omitempty"`
	Faults       []desired.Fault `json:"faults,omitempty"`
}

// inputEvent is a line of the input. Announcements of backends are parsed by package cell.
type inputEvent struct {
	AtMs           *int64          `json:"atMs"`
	Event          string          `json:"event"`
	BaseGeneration uint64          `json:"basis"`
	Merge          bool            `json:"merge"`
	Desired        json.RawMessage `json:"desired"`
	RequestID      string          `json:"visit"`
	Lane           string          `json:"lane"`
	Key            string          `json:"key"`
	ExpiryMs       int64           `json:"expiryMs"`
	Status         int             `json:"status"`
}

// Player replays events like a node in the first seat that has the backends to itself, in the time that
// the events give.
type Player struct {
	*forward.State
	encoder        *json.Encoder
	fromPosition   uint64
	position       uint64
	now            ident.Moment
	inputLine      int
	table          *cell.BackendTable
	tree           any
	desired        *desired.State
	generation     ident.Generation
	claimHolders   map[string]ident.RequestID
	connectionOf   map[ident.RequestID]admission.Key
	excludedAtBeat map[ident.Addr]uint64 // heartbeat at which a backend was excluded; the next one readmits it
}

// New returns a player that writes the records from fromPosition on, as JSON lines.
func New(writer io.Writer, fromPosition uint64) *Player {
	player := &Player{encoder: json.NewEncoder(writer), fromPosition: fromPosition, table: cell.New(playerCell, 1), claimHolders: map[string]ident.RequestID{}, connectionOf: map[ident.RequestID]admission.Key{}, excludedAtBeat: map[ident.Addr]uint64{}}
	player.State = forward.New(admission.New(), func(request *forward.Request, now ident.Moment) (ident.Moment, string) {
		if player.desired == nil || player.desired.Lanes[request.Lane] == nil {
			return 0, "lane changed"
		}
		return now.Add(time.Hour), ""
	})
	return player
}

func (p *Player) write(record Record) {
	p.position++
	record.Position, record.AtMs, record.Generation = p.position, int64(p.now)/1e6, uint64(p.generation)
	if p.position >= p.fromPosition {
		p.encoder.Encode(record)
	}
}

func (p *Player) writeError(format string, args ...any) {
	p.write(Record{Decision: "error", InputLine: p.inputLine, Reason: fmt.Sprintf(format, args...)})
}

// Play replays the input and then lets open requests end for up to a minute.
func (p *Player) Play(input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), desired.MaxBytes+4096)
	for scanner.Scan() {
		p.inputLine++
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) > 0 {
			p.handleEvent(line)
		}
	}
	p.advance(p.now.Add(time.Minute))
	return scanner.Err()
}

// advance moves the time forward, with ticks as long as requests are open.
func (p *Player) advance(to ident.Moment) {
	for p.now.Before(to) && (p.Open() > 0) {
		p.now = min(to, p.now.Add(5*time.Millisecond))
		p.Tick(p.now)
		p.applyEffects()
	}
	p.now = max(p.now, to)
}

func (p *Player) handleEvent(line []byte) {
	var event inputEvent
	if err := json.Unmarshal(line, &event); err != nil {
		p.writeError("not a JSON object: %v", err)
		return
	}
	if event.AtMs != nil {
		moment := ident.Moment(*event.AtMs * 1e6)
		if moment.Before(p.now) {
			p.writeError("atMs goes back, from %d to %d", int64(p.now)/1e6, *event.AtMs)
			return
		}
		p.advance(moment)
	}
	switch event.Event {
	case "beat", "drain", "sign-off":
		announcement, faults := cell.ParseAnnounce(line, cell.AnnounceStates[event.Event], "event", "atMs")
		if len(faults) > 0 {
			p.write(Record{Decision: "error", InputLine: p.inputLine, Reason: "not sound", Faults: faults})
			return
		}
		announcement.Stands = true
		p.table.HandleAnnounce(announcement, p.now)
		p.refreshBackends()
		p.write(Record{Decision: "heard", Backend: announcement.Addr, Reason: event.Event})
	case "desired":
		p.setDesired(event)
	case "visit":
		p.startRequest(event)
	case "answer":
		p.answerAttempt(event)
	default:
		p.writeError("event %q is not known: beat, drain, sign-off, desired, visit or answer", event.Event)
	}
	p.applyEffects()
}

func (p *Player) setDesired(event inputEvent) {
	if event.BaseGeneration != uint64(p.generation) {
		p.writeError("another change came first: stands on %d, the newest is %d", event.BaseGeneration, p.generation)
		return
	}
	tree, faults := desired.ReadTree(event.Desired)
	if len(faults) == 0 && event.Merge {
		tree = desired.Merge(p.tree, tree)
	}
	var state *desired.State
	if len(faults) == 0 {
		state, faults = desired.Validate(tree)
	}
	if len(faults) == 0 && p.desired != nil {
		faults = state.CheckEdition(p.desired.Edition)
	}
	if len(faults) > 0 {
		p.write(Record{Decision: "error", InputLine: p.inputLine, Reason: "not sound", Faults: faults})
		return
	}
	p.generation++
	p.tree, p.desired = tree, state
	p.SetConfig(state, ledger.LaneSlots(state), 0, state.Seats(), p.now)
	p.refreshBackends()
	p.write(Record{Decision: "in force"})
}

func (p *Player) refreshBackends() {
	p.table.Tick(p.now)
	var backends []admission.Backend
	for _, backend := range p.table.Backends() {
		if p.excludedAtBeat[backend.Addr] != 0 && backend.Beats > p.excludedAtBeat[backend.Addr] {
			delete(p.excludedAtBeat, backend.Addr)
		}
		if backend.State == cell.Ready && p.desired != nil && p.desired.Services[backend.Service] != nil {
			backends = append(backends, admission.Backend{Addr: backend.Addr, Service: backend.Service, Incarnation: backend.Incarnation, Share: backend.EffectiveSlots, Ejected: p.excludedAtBeat[backend.Addr] != 0})
		}
	}
	p.SetBackends(backends, p.now)
}

func (p *Player) startRequest(event inputEvent) {
	if p.desired == nil || p.desired.Lanes[ident.Lane(event.Lane)] == nil {
		p.write(Record{Decision: "refused", RequestID: event.RequestID, Lane: event.Lane, Status: 404, Ran: "no", Reason: "no such lane"})
		return
	}
	if event.RequestID == "" || p.Find(ident.RequestID(event.RequestID)) != nil || event.ExpiryMs <= 0 {
		p.writeError("visit needs a name of its own and expiryMs")
		return
	}
	lane := p.desired.Lanes[ident.Lane(event.Lane)]
	arrival := forward.Arrival{ID: ident.RequestID(event.RequestID), Lane: lane.Name, Rule: lane, Arrived: p.now, Deadline: p.now.Add(time.Duration(event.ExpiryMs) * time.Millisecond)}
	if lane.AtMostOnce {
		if event.Key == "" {
			p.write(Record{Decision: "refused", RequestID: event.RequestID, Lane: event.Lane, Status: 400, Ran: "no", Reason: "this lane needs a key"})
			return
		}
		arrival.Key = []byte(event.Key)
	}
	p.table.Tick(p.now)
	p.Arrive(arrival, p.now)
}

func (p *Player) answerAttempt(event inputEvent) {
	id := ident.RequestID(event.RequestID)
	key, ok := p.connectionOf[id]
	if !ok {
		p.writeError("visit %q is not at a backend", event.RequestID)
		return
	}
	delete(p.connectionOf, id)
	outcome := forward.Complete
	if event.Status == 0 {
		outcome = forward.Broken
	}
	p.Ended(id, p.attempt(id), outcome, event.Status, p.now)
	p.ConnectionFreed(key, outcome == forward.Complete, outcome != forward.Complete, p.now)
}

func (p *Player) attempt(id ident.RequestID) int {
	if request := p.Find(id); request != nil {
		return request.Attempt
	}
	return 0
}

func (p *Player) applyEffects() {
	for effects := p.Flush(); len(effects) > 0; effects = p.Flush() {
		for _, effect := range effects {
			p.applyEffect(effect)
		}
	}
}

func (p *Player) applyEffect(effect any) {
	switch e := effect.(type) {
	case forward.Dial:
		p.connectionOf[e.Request] = e.Key
		p.Connected(e.Request, e.Attempt, p.now)
	case forward.Claim:
		request := e.Request
		holder, held := p.claimHolders[string(request.Arrival.Key)]
		if held && holder != request.ID {
			p.Claimed(request.ID, ledger.Claimed, 0, p.now)
			return
		}
		p.claimHolders[string(request.Arrival.Key)] = request.ID
		p.Claimed(request.ID, ledger.Done, 0, p.now)
	case forward.Release:
		delete(p.claimHolders, string(e.Request.Arrival.Key))
	case forward.ReturnConnection:
		if key, ok := p.connectionOf[e.Request]; ok {
			delete(p.connectionOf, e.Request)
			p.ConnectionFreed(key, true, false, p.now)
		}
	case forward.CloseConnection:
		if key, ok := p.connectionOf[e.Request]; ok {
			delete(p.connectionOf, e.Request)
			p.Ended(e.Request, p.attempt(e.Request), forward.TimedOut, 0, p.now)
			p.ConnectionFreed(key, false, false, p.now)
		}
	case forward.Eject:
		for _, backend := range p.table.Backends() {
			if backend.Addr == e.Addr {
				p.excludedAtBeat[e.Addr] = backend.Beats
			}
		}
	case forward.Trace:
		if e.To == forward.Sent || e.To == forward.Admitted {
			p.write(Record{Decision: e.To.String(), RequestID: string(e.Request), Lane: string(e.Lane), Backend: string(e.Addr)})
		}
	case forward.Answer:
		decision := "refused"
		if e.Ran != forward.RanNo {
			decision = "answered"
		}
		p.write(Record{Decision: decision, RequestID: string(e.Request), Status: e.Status, Ran: string(e.Ran), Reason: e.Reason, RetryAfterMs: e.RetryAfter.Milliseconds()})
	case forward.Deliver:
		p.write(Record{Decision: "delivered", RequestID: string(e.Request), Ran: "yes"})
	}
}
