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
	ErrDoors = merry.Sentinel("no control process answers; name one with --doors IP:PORT")
	ErrAsk   = merry.Sentinel("the query failed")
)

const leaderWait = 8 * time.Second

const (
	good    = 0
	failed  = 1
	wrong   = 2
	partial = 3
	late    = 4
	unsound = 5
)

type shell struct {
	doors  []string
	json   bool
	filter string
	gone   bool
	out    io.Writer
}

type query struct {
	words string
	text  string
	do    func(s *shell, w []string) (int, error)
}

var queries map[string]query

func init() {
	queries = map[string]query{
		"help":          {"", "this list", help},
		"members":       {"", "members, their cells and states", members},
		"fleet":         {"", "every node: ready or why not, seat, generation, parent, age of its news", nodes},
		"seats":         {"", "seats, who holds them, what they confirmed", seats},
		"fences":        {"", "each node's pools beside their caps", pools},
		"pools":         {"[NODE]", "the same, for one node", pools},
		"tree":          {"", "the tree that news goes down, and how old it is at each node", tree},
		"ledger":        {"", "for each backend: connections held, what the fences allow at most, what it accepts", book},
		"visit":         {"VISIT", "a visit's decisions, from whichever node it went through", visit},
		"cells":         {"", "cells, holders, epochs, age of their news", cells},
		"backends":      {"", "backends and their soundness", backends},
		"disks":         {"", "disk holders: role, commit, ailing, ring", disks},
		"quorum":        {"", "voters and learners: who leads, who lags by how much, who is silent, since when there is no majority", quorum},
		"history":       {"", "generations kept", history},
		"show":          {"[GENERATION]", "a desired state", show},
		"replay":        {"FILE [POSITION]", "play events from a file, offline, and print the decisions", replayFile},
		"import":        {"FILE TENANT NODES", "turn an nginx file into a desired state, offline; lists what it did not take", importFile},
		"check":         {"FILE", "check a desired state, offline", checkFile},
		"diff":          {"FILE", "what FILE would change", diff},
		"apply":         {"FILE", "make FILE the desired state", change("PUT")},
		"merge":         {"FILE", "merge FILE into the desired state", change("PATCH")},
		"try":           {"FILE MEMBER...", "let some nodes try FILE; the rest stay as they are", try},
		"withdraw":      {"", "end the trial", withdraw},
		"promote":       {"", "make what is tried the desired state of all", promote},
		"rollback":      {"GENERATION", "make an earlier generation the desired state again", rollback},
		"held":          {"", "changes held back until their regions' blackout days end", held},
		"withdraw-held": {"PLACE", "take a held change out of the queue; to replace it, apply another after", withdrawHeld},
		"calendar":      {"", "regions, whether they stand still, and until or from when", calendars},
		"routes":        {"", "routes, their lanes by weight, shots and times", routes},
		"route":         {"HOST PATH", "which route and lanes a visit would take", route},
		"free":          {"SEAT", "free a seat whose holder's sockets are gone", free},
		"drain":         {"MEMBER", "ask a member to drain and end", drain},
		"decisions":     {"MEMBER [LANE]", "a member's latest decisions", decisions},
	}
}

func (s *shell) run(w []string) int {
	q, ok := queries[w[0]]
	if !ok {
		fmt.Fprintf(os.Stderr, "fleetshell: no query named %q; 'help' lists them\n", w[0])
		return wrong
	}
	code, err := q.do(s, w[1:])
	if err != nil {
		text := err.Error()
		if c := merry.Cause(err); c != nil {
			text += ": " + c.Error()
		}
		fmt.Fprintln(os.Stderr, "fleetshell:", text)
		if code == good {
			code = failed
		}
	}
	return code
}

func help(s *shell, w []string) (int, error) {
	var names []string
	for n := range queries {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(s.out, "%-24s %s\n", strings.TrimSpace(n+" "+queries[n].words), queries[n].text)
	}
	return good, nil
}

var web = http.Client{Timeout: 3 * time.Second}

func fetch(addr, path string) (map[string]any, error) {
	resp, err := web.Get("http://" + addr + path)
	if err != nil {
		return nil, merry.Wrap(ErrAsk, merry.WithCause(err))
	}
	defer resp.Body.Close()
	v := map[string]any{}
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil || resp.StatusCode != 200 {
		return nil, merry.Wrap(ErrAsk, merry.AppendMessagef("%s answered %d: %v", addr, resp.StatusCode, v["error"]))
	}
	return v, nil
}

func (s *shell) head() (map[string]any, string, error) {
	var best map[string]any
	from := ""
	for _, d := range s.doors {
		v, err := fetch(d, "/fleet")
		if err != nil {
			continue
		}
		if best == nil || num(v["coreAgeMs"]) < num(best["coreAgeMs"]) {
			best, from = v, d
		}
	}
	if best == nil {
		return nil, "", ErrDoors
	}
	return best, from, nil
}

func num(v any) float64 { f, _ := v.(float64); return f }
func str(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case float64:
		return fmt.Sprintf("%.0f", v)
	case []any:
		var out []string
		for _, e := range v {
			out = append(out, str(e))
		}
		return strings.Join(out, ",")
	}
	return fmt.Sprint(v)
}

func list(v any) []map[string]any {
	l, _ := v.([]any)
	var out []map[string]any
	for _, e := range l {
		if m, ok := e.(map[string]any); ok {
			out = append(out, m)
		}
	}
	return out
}

func (s *shell) table(rows []map[string]any, fields ...string) {
	var keep []map[string]any
	for _, r := range rows {
		line := ""
		for _, f := range fields {
			line += " " + str(r[f])
		}
		if strings.Contains(line, s.filter) {
			keep = append(keep, r)
		}
	}
	if s.json {
		if keep == nil {
			keep = []map[string]any{}
		}
		json.NewEncoder(s.out).Encode(keep)
		return
	}
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(fields, "\t"))
	for _, r := range keep {
		var c []string
		for _, f := range fields {
			c = append(c, str(r[f]))
		}
		fmt.Fprintln(t, strings.Join(c, "\t"))
	}
	t.Flush()
}

func (s *shell) note(form string, args ...any) {
	if !s.json {
		fmt.Fprintf(s.out, form+"\n", args...)
	} else {
		fmt.Fprintf(os.Stderr, form+"\n", args...)
	}
}

func (s *shell) each(role, path string) ([]map[string]any, []string, error) {
	v, _, err := s.head()
	if err != nil {
		return nil, nil, err
	}
	var lock sync.Mutex
	var wait sync.WaitGroup
	var rows []map[string]any
	var mute []string
	for _, c := range list(v["cards"]) {
		if c["role"] != role || c["state"] == "left" {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			got, err := fetch(places(c), path)
			lock.Lock()
			defer lock.Unlock()
			if err != nil {
				mute = append(mute, str(c["id"]))
				return
			}
			rows = append(rows, got)
		}()
	}
	wait.Wait()
	sort.Slice(rows, func(i, j int) bool { return str(rows[i]["member"]) < str(rows[j]["member"]) })
	sort.Strings(mute)
	return rows, mute, nil
}

func (s *shell) ended(mute []string) (int, error) {
	if len(mute) > 0 {
		s.note("partial: no answer from %s", strings.Join(mute, ", "))
		return partial, nil
	}
	return good, nil
}

func one(w []string, what string) (string, error) {
	if len(w) != 1 {
		return "", merry.Errorf("name one %s", what)
	}
	return w[0], nil
}

type holdings struct {
	Generation uint64
	Edition    uint64
	Basis      string
	Clock      string
	Calendar   []map[string]any
	Held       []map[string]any
	End        json.RawMessage
}
