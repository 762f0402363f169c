package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrNoControl: none of the given control processes answered.
	ErrNoControl = merry.Sentinel("no control process answers; give the address of one with --doors IP:PORT")
	// ErrQuery: the request failed or was answered with an error.
	ErrQuery = merry.Sentinel("the query failed")
)

// leaderTimeout limits the retries while the fleet has no leader, which it answers with 503.
const leaderTimeout = 8 * time.Second

// Exit codes, as the epilogue of --help lists them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitPartial  = 3
	exitConflict = 4
	exitInvalid  = 5
)

// shell answers queries by asking the processes of a fleet.
type shell struct {
	addresses   []string // operators' addresses of control processes
	json        bool
	filter      string
	socketsGone bool // the operator confirms that a seat's holder has no open connections
	out         io.Writer
}

// query is one command of the shell.
type query struct {
	parameters string
	summary    string
	run        func(s *shell, arguments []string) (int, error) // returns the exit code
}

var queries map[string]query

// init fills in the queries; an initializer of the variable would refer to itself through showHelp.
func init() {
	queries = map[string]query{
		"help":          {"", "this list", showHelp},
		"members":       {"", "members, their cells and states", showMembers},
		"fleet":         {"", "each node: ready or why not, seat, generation, parent, age of its last update", showNodes},
		"seats":         {"", "seats, their holders and what these have confirmed", showSeats},
		"fences":        {"", "each node's connection pools and their limits", showPools},
		"pools":         {"[NODE]", "the same, for one node", showPools},
		"tree":          {"", "the distribution tree, and the age of the last update at each node", showTree},
		"ledger":        {"", "each backend: connections held, how many the seats allow at most, how many it accepts", showConnectionLimits},
		"visit":         {"VISIT", "the decisions about a request, from the node that handled it", showRequest},
		"cells":         {"", "cells, holders, epochs, age of their last update", showCells},
		"backends":      {"", "backends and their health", showBackends},
		"disks":         {"", "control processes: role, commit index, failing disk, use of the log ring", showDisks},
		"quorum":        {"", "voters and learners: the leader, lag, silence, time without a majority", showQuorum},
		"history":       {"", "the generations that are kept", showHistory},
		"show":          {"[GENERATION]", "the desired state, or an earlier generation of it", showState},
		"replay":        {"FILE [POSITION]", "replay events from a file, offline, and print the decisions", replayFile},
		"import":        {"FILE TENANT NODES", "convert an nginx file to a desired state, offline; lists what was skipped", importFile},
		"check":         {"FILE", "check a desired state, offline", checkFile},
		"diff":          {"FILE", "what FILE would change", diffFile},
		"apply":         {"FILE", "replace the desired state with FILE", changeCommand("PUT")},
		"merge":         {"FILE", "merge FILE into the desired state", changeCommand("PATCH")},
		"try":           {"FILE MEMBER...", "start a trial of FILE on the given nodes only", startTrial},
		"withdraw":      {"", "end the trial", endTrial},
		"promote":       {"", "make the trial the desired state of all nodes", promoteTrial},
		"rollback":      {"GENERATION", "restore an earlier generation of the desired state", rollBack},
		"held":          {"", "changes held until the blackout periods of their regions end", showHeldChanges},
		"withdraw-held": {"PLACE", "remove a held change from the queue; to replace it, apply another one afterwards", withdrawHeldChange},
		"calendar":      {"", "regions, whether they are in a blackout period, and when it ends or the next one starts", showCalendar},
		"routes":        {"", "routes, their lanes by weight, attempts and timeouts", showRoutes},
		"route":         {"HOST PATH", "the route and lanes that a request would take", showMatchingRoute},
		"free":          {"SEAT", "free a seat whose holder has no open connections any more", freeSeat},
		"drain":         {"MEMBER", "ask a member to drain and exit", drainMember},
		"decisions":     {"MEMBER [LANE]", "the latest decisions of a member", showDecisions},
	}
}

// run answers one query and returns the exit code.
func (s *shell) run(arguments []string) int {
	selected, ok := queries[arguments[0]]
	if !ok {
		fmt.Fprintf(os.Stderr, "fleetshell: unknown query %q; 'help' lists the queries\n", arguments[0])
		return exitUsage
	}
	code, err := selected.run(s, arguments[1:])
	if err != nil {
		text := err.Error()
		if cause := merry.Cause(err); cause != nil {
			text += ": " + cause.Error()
		}
		fmt.Fprintln(os.Stderr, "fleetshell:", text)
		if code == exitOK {
			code = exitFailed
		}
	}
	return code
}

func showHelp(s *shell, arguments []string) (int, error) {
	var names []string
	for name := range queries {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(s.out, "%-24s %s\n", strings.TrimSpace(name+" "+queries[name].parameters), queries[name].summary)
	}
	return exitOK, nil
}

var httpClient = http.Client{Timeout: 3 * time.Second}

func fetchJSON(address, path string) (map[string]any, error) {
	resp, err := httpClient.Get("http://" + address + path)
	if err != nil {
		return nil, merry.Wrap(ErrQuery, merry.WithCause(err))
	}
	defer resp.Body.Close()
	answer := map[string]any{}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || resp.StatusCode != 200 {
		return nil, merry.Wrap(ErrQuery, merry.AppendMessagef("%s answered %d: %v", address, resp.StatusCode, answer["error"]))
	}
	return answer, nil
}

// freshestStatus returns the status of the fleet from the control process whose copy of the replicated
// state is the most recent, and the address of that process.
func (s *shell) freshestStatus() (map[string]any, string, error) {
	var best map[string]any
	from := ""
	for _, address := range s.addresses {
		status, err := fetchJSON(address, "/fleet")
		if err != nil {
			continue
		}
		if best == nil || numberOf(status["coreAgeMs"]) < numberOf(best["coreAgeMs"]) {
			best, from = status, address
		}
	}
	if best == nil {
		return nil, "", ErrNoControl
	}
	return best, from, nil
}

// numberOf returns a JSON number, and 0 for any other value.
func numberOf(v any) float64 { number, _ := v.(float64); return number }

// formatValue formats a JSON value for a table; a missing one is "-".
func formatValue(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case float64:
		return fmt.Sprintf("%.0f", v)
	case []any:
		var elements []string
		for _, element := range v {
			elements = append(elements, formatValue(element))
		}
		return strings.Join(elements, ",")
	}
	return fmt.Sprint(v)
}

// objectsOf returns the objects in a JSON list.
func objectsOf(v any) []map[string]any {
	elements, _ := v.([]any)
	var objects []map[string]any
	for _, element := range elements {
		if object, ok := element.(map[string]any); ok {
			objects = append(objects, object)
		}
	}
	return objects
}

// printTable prints the rows that contain the filter text, as a table of the given fields or as JSON.
func (s *shell) printTable(rows []map[string]any, fields ...string) {
	var kept []map[string]any
	for _, row := range rows {
		line := ""
		for _, field := range fields {
			line += " " + formatValue(row[field])
		}
		if strings.Contains(line, s.filter) {
			kept = append(kept, row)
		}
	}
	if s.json {
		if kept == nil {
			kept = []map[string]any{}
		}
		json.NewEncoder(s.out).Encode(kept)
		return
	}
	writer := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(fields, "\t"))
	for _, row := range kept {
		var columns []string
		for _, field := range fields {
			columns = append(columns, formatValue(row[field]))
		}
		fmt.Fprintln(writer, strings.Join(columns, "\t"))
	}
	writer.Flush()
}

// printNote prints a remark, on standard error if standard output carries JSON.
func (s *shell) printNote(format string, args ...any) {
	if !s.json {
		fmt.Fprintf(s.out, format+"\n", args...)
	} else {
		fmt.Fprintf(os.Stderr, format+"\n", args...)
	}
}

// fetchByRole asks all members of a role at the same time. It returns their answers by member and the
// ids of those that did not answer.
func (s *shell) fetchByRole(role, path string) ([]map[string]any, []string, error) {
	status, _, err := s.freshestStatus()
	if err != nil {
		return nil, nil, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var rows []map[string]any
	var unreachable []string
	for _, record := range objectsOf(status["cards"]) {
		if record["role"] != role || record["state"] == "left" {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			answer, err := fetchJSON(operatorsAddr(record), path)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, formatValue(record["id"]))
				return
			}
			rows = append(rows, answer)
		}()
	}
	wg.Wait()
	sort.Slice(rows, func(i, j int) bool { return formatValue(rows[i]["member"]) < formatValue(rows[j]["member"]) })
	sort.Strings(unreachable)
	return rows, unreachable, nil
}

// exitCode returns exitPartial, with a note, if some members did not answer.
func (s *shell) exitCode(unreachable []string) (int, error) {
	if len(unreachable) > 0 {
		s.printNote("partial: no answer from %s", strings.Join(unreachable, ", "))
		return exitPartial, nil
	}
	return exitOK, nil
}

// singleArgument returns the only argument, which the error message calls what.
func singleArgument(arguments []string, what string) (string, error) {
	if len(arguments) != 1 {
		return "", merry.Errorf("expected exactly one %s", what)
	}
	return arguments[0], nil
}

// heldChanges is the answer of /desired/held: the changes that wait for the end of a blackout period, the
// calendar, and the desired state (End) and version (Basis) on which the next change is based.
type heldChanges struct {
	Generation uint64
	Edition    uint64
	Basis      string
	Clock      string
	Calendar   []map[string]any
	Held       []map[string]any
	End        json.RawMessage
}
