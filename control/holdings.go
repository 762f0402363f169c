package control

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"sloeturn/daemon"
	"sloeturn/desired"
	"sloeturn/ident"
)

// regionStatus is a region's blackout period: "still" while it is open, and "free" otherwise with the
// next one.
type regionStatus struct {
	Region string   `json:"region"`
	Zone   string   `json:"zone,omitempty"`
	Cells  []string `json:"cells"`
	State  string   `json:"state"`
	Number uint64   `json:"number,omitempty"`
	From   string   `json:"from,omitempty"`
	Until  string   `json:"until,omitempty"`
}

// heldChange is a change in the queue.
type heldChange struct {
	Place    uint64          `json:"place"`
	ChangeID string          `json:"changeId"`
	Author   string          `json:"author,omitempty"`
	Edition  uint64          `json:"edition,omitempty"`
	Regions  []string        `json:"regions"`
	Until    string          `json:"until,omitempty"`
	InForce  bool            `json:"inForce"`
	Patch    json.RawMessage `json:"patch"`
}

// heldReport answers GET /desired/held.
type heldReport struct {
	Generation uint64          `json:"generation"`
	Edition    uint64          `json:"edition"`
	Basis      string          `json:"basis"`
	Clock      string          `json:"clock,omitempty"`
	Calendar   []regionStatus  `json:"calendar"`
	Held       []heldChange    `json:"held"`
	End        json.RawMessage `json:"end"`
}

// reportHeld lists the blackout periods and the held changes.
func (s *State) reportHeld(now ident.Moment) heldReport {
	machine := s.Ledger
	out := heldReport{Generation: uint64(machine.Generation), Edition: max(machine.LatestEdition(), machine.HighestHeldEdition), Basis: strings.Trim(entityTag(uint64(machine.Generation), machine.BasisTail()), `"`), Calendar: []regionStatus{}, Held: []heldChange{}, End: desired.Write(s.queueEndTree())}
	wall := s.wallClock(now)
	if wall != 0 {
		out.Clock = formatTime(wall)
	}
	names := machine.RegionsInBlackout()
	cal := s.calendarInEffect()
	if cal != nil {
		names = cal.Regions()
	}
	config := machine.DesiredState(machine.Generation)
	for _, region := range names {
		status := regionStatus{Region: region, State: "free", Cells: []string{}}
		if config == nil {
			config = &desired.State{}
		}
		if k := config.Regions[region]; k != nil {
			for _, c := range k.Cells {
				status.Cells = append(status.Cells, string(c))
			}
		}
		if k := config.Blackouts[region]; k != nil {
			status.Zone = k.Zone
		}
		if p := machine.OpenPeriod(region); p != nil {
			status.State, status.Number, status.From, status.Until = "still", p.Number, formatTime(p.FromMs), formatTime(p.UntilMs)
		} else if p, ok := cal.NextPeriod(region, max(wall, machine.BlackoutPeriods[region].GetClosedMs())); ok {
			status.From, status.Until = formatTime(p.StartMs), formatTime(p.EndMs)
		}
		out.Calendar = append(out.Calendar, status)
	}
	for _, h := range machine.HeldChanges {
		l := heldChange{Place: h.Place, ChangeID: h.ChangeId, Author: h.Author, Edition: h.Edition, Regions: h.Regions, InForce: h.Applied, Patch: h.Patch}
		if l.Regions == nil {
			l.Regions = []string{}
		}
		if !h.Applied {
			_, ms := s.waitsFor(h)
			l.Until = formatTime(ms)
		}
		out.Held = append(out.Held, l)
	}
	return out
}

// heldResult is the report, or the leader to ask, or that a majority has not yet confirmed this leader.
type heldResult struct {
	heldReport
	ok          bool
	unconfirmed bool
	leaderHTTP  string
}

// readHeld reads the report from a leader that a majority confirms after the request came.
func (n *Node) readHeld() (heldResult, error) {
	asked := ident.Now()
	read := func(s *State, now ident.Moment) any {
		at, ok := s.leaderAsOf()
		switch {
		case ok && at.Before(asked):
			return heldResult{unconfirmed: true}
		case ok:
			return heldResult{heldReport: s.reportHeld(now), ok: true}
		}
		for _, record := range s.Members.Records() {
			if record.Addr == s.leaderAddr() && record.Addr != string(s.Addr) {
				return heldResult{leaderHTTP: record.Http}
			}
		}
		return heldResult{}
	}
	result, err := n.Query(read)
	for err == nil && result.(heldResult).unconfirmed && ident.Now().Sub(asked) < ReadTimeout {
		time.Sleep(5 * time.Millisecond)
		result, err = n.Query(read)
	}
	if err != nil {
		return heldResult{}, err
	}
	return result.(heldResult), nil
}

// getHeld serves GET /desired/held.
func (n *Node) getHeld(w http.ResponseWriter, r *http.Request) {
	found, err := n.readHeld()
	if err != nil {
		daemon.WriteError(w, 503, err.Error(), nil)
		return
	}
	if found.leaderHTTP != "" && r.Header.Get("Sloeturn-Hop") == "" {
		n.proxyToLeader(w, r, found.leaderHTTP)
		return
	}
	if !found.ok {
		w.Header().Set("Retry-After", "1")
		daemon.WriteError(w, 503, "no leader to read from just now", nil)
		return
	}
	w.Header().Set("ETag", `"`+found.Basis+`"`)
	daemon.WriteJSON(w, 200, found.heldReport)
}

// End is the configuration at the end of the queue of held changes, which the next change is based on.
func (n *Node) End(done context.Context) (doc []byte, ok bool) { return n.readFromLeader(done, true) }
