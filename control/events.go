package control

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"sloeturn/cell"
	"sloeturn/desired"
	"sloeturn/duty"
	"sloeturn/ledger"
	"sloeturn/wire"
)

type Told struct {
	Line       int             `json:"line"`
	OK         bool            `json:"ok"`
	Event      string          `json:"event,omitempty"`
	Generation uint64          `json:"generation"`
	Error      string          `json:"error,omitempty"`
	Faults     []desired.Fault `json:"faults,omitempty"`
}

func (n *Node) events(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := json.NewEncoder(w)
	ctl := http.NewResponseController(w)
	ctl.EnableFullDuplex()
	in := bufio.NewScanner(r.Body)
	in.Buffer(make([]byte, 64<<10), desired.SizeLimit+4096)
	line := 0
	for in.Scan() {
		line++
		if len(bytes.TrimSpace(in.Bytes())) == 0 {
			continue
		}
		t := n.event(r, in.Bytes())
		t.Line = line
		if out.Encode(t) != nil {
			return
		}
		ctl.Flush()
	}
	if err := in.Err(); err != nil {
		out.Encode(Told{Line: line + 1, Error: "line cannot be read: " + err.Error()})
	}
}

func (n *Node) event(r *http.Request, b []byte) Told {
	var e struct {
		Event    string          `json:"event"`
		Basis    *uint64         `json:"basis"`
		ChangeID string          `json:"changeId"`
		Merge    bool            `json:"merge"`
		Desired  json.RawMessage `json:"desired"`
	}
	if err := json.Unmarshal(b, &e); err != nil {
		return Told{Error: "not a JSON object: " + err.Error()}
	}
	t := Told{Event: e.Event, Generation: n.Generation()}
	kind, ok := cell.Events[e.Event]
	if ok {
		a, faults := cell.ReadBeat(b, kind)
		if len(faults) > 0 {
			t.Error, t.Faults = "not sound", faults
			return t
		}
		code, text := n.hear(r.Context(), a, func() bool { return duty.Stands(r) })
		t.OK, t.Error = code == 200, text
		return t
	}
	if e.Event != "desired" {
		t.Error = fmt.Sprintf("event %q is not known: beat, drain, sign-off or desired", e.Event)
		return t
	}
	if e.Basis == nil || e.ChangeID == "" || len(e.Desired) == 0 {
		t.Error = "desired needs basis, changeId and desired"
		return t
	}
	got := n.Change(r.Context(), &wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Basis: *e.Basis, ChangeId: e.ChangeID, Doc: e.Desired, Merge: e.Merge}}}, DesiredWait)
	t.Generation = max(got.Generation, t.Generation)
	switch ledger.Code(got.Code) {
	case ledger.Done:
		t.OK = true
	case ledger.Stale:
		t.Error = "another change came first"
	case ledger.Invalid:
		t.Error = "not sound"
		for _, f := range got.Faults {
			t.Faults = append(t.Faults, desired.Fault{Path: f.Path, Text: f.Text})
		}
	default:
		t.Error = "outcome unknown; ask again with the same changeId"
	}
	return t
}

func (n *Node) Generation() uint64 {
	v, err := n.Query(func(s *State, now moment) any { return uint64(s.Relay.DocGen) })
	if err != nil {
		return 0
	}
	return v.(uint64)
}

func (n *Node) hear(done context.Context, a *wire.Announce, stands func() bool) (uint32, string) {
	n.Query(func(s *State, now moment) any { s.Relay.Address(a, s.Cell, now); return nil })
	duty.Vouch(a, stands())
	got := n.Tell(done, a)
	return got.Code, got.Text
}
