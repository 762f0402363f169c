package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"sloeturn/cell"
	"sloeturn/daemon"
	"sloeturn/desired"
	"sloeturn/ledger"
	"sloeturn/wire"
)

// EventResult answers one line of POST /events.
type EventResult struct {
	Line       int             `json:"line"`
	OK         bool            `json:"ok"`
	Event      string          `json:"event,omitempty"`
	Generation uint64          `json:"generation"`
	Error      string          `json:"error,omitempty"`
	Faults     []desired.Fault `json:"faults,omitempty"`
	Held       bool            `json:"held,omitempty"`
	Place      uint64          `json:"place,omitempty"`
	Until      string          `json:"until,omitempty"`
}

// maxEventFieldBytes is how much longer an event may be than the desired state in it.
const maxEventFieldBytes = 4096

// postEvents serves POST /events: one JSON event a line, each answered by a line.
func (n *Node) postEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := json.NewEncoder(w)
	ctl := http.NewResponseController(w)
	ctl.EnableFullDuplex()
	lines := daemon.ReadLines(r, desired.MaxBytes+maxEventFieldBytes)
	defer lines.Release()
	for number := 1; ; number++ {
		line, err := lines.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			out.Encode(EventResult{Line: number, Error: "line cannot be read: " + err.Error()})
			return
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		t := n.handleEvent(r, line)
		t.Line = number
		if out.Encode(t) != nil {
			return
		}
		ctl.Flush()
	}
}

func (n *Node) handleEvent(r *http.Request, line []byte) EventResult {
	t := EventResult{Generation: n.Generation()}
	tree, faults := desired.ReadTree(line)
	fields, ok := tree.(map[string]any)
	if len(faults) > 0 || !ok {
		t.Error, t.Faults = "not a JSON object", faults
		return t
	}
	t.Event, _ = fields["event"].(string)
	kind, ok := cell.AnnounceStates[t.Event]
	switch {
	case ok:
		a, faults := cell.ParseAnnounce(line, kind, "event", "atMs")
		if len(faults) > 0 {
			t.Error, t.Faults = "not sound", faults
			return t
		}
		code, text := n.HandleAnnouncement(r.Context(), a, func() bool { return daemon.ConnectionOpen(r) })
		t.OK, t.Error = code == 200, text
	case t.Event == "desired":
		n.desiredEvent(r, line, fields, &t)
	default:
		t.Error = fmt.Sprintf("event %q is not known: beat, drain, sign-off or desired", t.Event)
	}
	return t
}

// desiredEvent applies a change of the configuration that was sent as an event.
func (n *Node) desiredEvent(r *http.Request, b []byte, fields map[string]any, t *EventResult) {
	var e struct {
		Desired json.RawMessage `json:"desired"`
	}
	json.Unmarshal(b, &e)
	set := &wire.SetDesired{Doc: e.Desired}
	bad := func(key, text string) { t.Faults = append(t.Faults, desired.Fault{Path: "/" + key, Text: text}) }
	v, _ := fields["basis"].(json.Number)
	basis, err := strconv.ParseUint(v.String(), 10, 64)
	if set.Basis = basis; err != nil {
		bad("basis", "must be the generation this change stands on")
	}
	if v, ok := fields["tail"]; ok {
		k, _ := v.(json.Number)
		if set.Tail, err = strconv.ParseUint(k.String(), 10, 64); err != nil {
			bad("tail", "must be a whole number, the end of the queue this change stands on")
		}
	}
	if set.ChangeId, _ = fields["changeId"].(string); set.ChangeId == "" || len(set.ChangeId) > 128 {
		bad("changeId", "must name this change, in at most 128 bytes")
	}
	if v, ok := fields["merge"]; ok {
		if set.Merge, ok = v.(bool); !ok {
			bad("merge", "must be true or false")
		}
	}
	if _, ok := fields["desired"].(map[string]any); !ok {
		bad("desired", "must be an object")
	}
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains([]string{"event", "atMs", "basis", "tail", "changeId", "merge", "desired"}, k) {
			bad(k, "is not known here")
		}
	}
	if len(t.Faults) > 0 {
		t.Error = "not sound"
		return
	}
	got := n.Change(r.Context(), &wire.Change{Body: &wire.Change_SetDesired{SetDesired: set}}, ChangeTimeout)
	t.Generation = max(got.Generation, t.Generation)
	switch ledger.Code(got.Code) {
	case ledger.Done:
		t.OK = true
	case ledger.Held:
		t.OK, t.Held, t.Place, t.Until = true, true, got.Place, formatTime(got.UntilMs)
	case ledger.Stale:
		t.Error = "another change came first"
	case ledger.Invalid:
		t.Error = "not sound"
		for _, f := range got.Faults {
			t.Faults = append(t.Faults, desired.Fault{Path: f.Path, Text: f.Text})
		}
	case ledger.NoLogSpace:
		t.Error = "no room on the disks of the control machines"
	default:
		t.Error = "outcome unknown; ask again with the same changeId"
	}
}

// Generation is the newest generation that this process knows, or 0 if it is too busy to say.
func (n *Node) Generation() uint64 {
	v, err := n.Query(func(s *State, now moment) any { return uint64(s.Relay.DocumentGeneration) })
	if err != nil {
		return 0
	}
	return v.(uint64)
}

// HandleAnnouncement takes a backend's announcement; stands reports whether the connection it came on
// is still open.
func (n *Node) HandleAnnouncement(done context.Context, announcement *wire.Announce, stands func() bool) (uint32, string) {
	n.Query(func(s *State, now moment) any { s.Relay.CompleteAnnouncement(announcement, s.Cell, now); return nil })
	daemon.SetConnectionOpen(announcement, stands())
	got := n.Announce(done, announcement)
	return got.Code, got.Text
}
