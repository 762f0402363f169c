package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"sloeturn/calendar"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/nginximport"
	"sloeturn/replay"
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

func members(s *shell, w []string) (int, error) {
	v, from, err := s.head()
	if err != nil {
		return failed, err
	}
	s.table(list(v["cards"]), "id", "cell", "role", "state", "ready", "leaving", "build", "address", "accusers")
	s.note("told by %s at %s", str(v["member"]), from)
	return good, nil
}

func places(card map[string]any) string {
	_, ops, _ := strings.Cut(str(card["http"]), ",")
	return ops
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

func nodes(s *shell, w []string) (int, error) {
	rows, mute, err := s.each("data", "/fleet")
	if err != nil {
		return failed, err
	}
	s.table(rows, "member", "cell", "ready", "why", "seat", "generation", "coreAgeMs", "parent", "openVisits", "held", "build")
	return s.ended(mute)
}

func tree(s *shell, w []string) (int, error) {
	v, _, err := s.head()
	if err != nil {
		return failed, err
	}
	rows, mute, err := s.each("data", "/fleet")
	if err != nil {
		return failed, err
	}
	name := map[string]string{}
	for _, c := range list(v["cards"]) {
		name[str(c["address"])] = str(c["id"])
	}
	over := map[string]string{}
	for _, r := range rows {
		r["parent"] = name[str(r["parent"])]
		over[str(r["member"])] = str(r["parent"])
	}
	for _, r := range rows {
		hops := 1
		for up := str(r["parent"]); over[up] != "" && hops <= len(rows); up = over[up] {
			hops++
		}
		r["hops"] = float64(hops)
	}
	sort.SliceStable(rows, func(i, j int) bool { return num(rows[i]["hops"]) < num(rows[j]["hops"]) })
	s.table(rows, "member", "parent", "hops", "coreAgeMs", "generation", "trial")
	return s.ended(mute)
}

func book(s *shell, w []string) (int, error) {
	v, from, err := s.head()
	if err != nil {
		return failed, err
	}
	b, gen, err := s.state("")
	if err != nil {
		return failed, err
	}
	d, faults := desired.Read(b)
	if len(faults) > 0 {
		return failed, merry.Errorf("generation %s does not read here", gen)
	}
	rows, mute, err := s.each("data", "/pools")
	if err != nil {
		return failed, err
	}
	held := map[string]float64{}
	for _, r := range rows {
		for _, p := range list(r["pools"]) {
			held[str(p["Addr"])] += num(p["Busy"]) + num(p["Idle"])
		}
	}
	backs, err := fetch(from, "/backends")
	if err != nil {
		return failed, err
	}
	var out []map[string]any
	slots := d.Slots()
	for _, k := range list(backs["backends"]) {
		sv := d.Services[ident.Service(str(k["service"]))]
		if sv == nil {
			continue
		}
		most := num(v["seatCount"]) * float64(slots[sv.Name])
		out = append(out, map[string]any{"backend": k["address"], "service": k["service"], "held": held[str(k["address"])], "most": most, "reserve": float64(sv.Reserve), "accepts": float64(sv.MaxConnections), "spare": float64(sv.MaxConnections-sv.Reserve) - most})
	}
	sort.Slice(out, func(i, j int) bool { return str(out[i]["backend"]) < str(out[j]["backend"]) })
	s.table(out, "backend", "service", "held", "most", "reserve", "accepts", "spare")
	s.note("generation %s, grown %s, %s seats", gen, str(v["grown"]), str(v["seatCount"]))
	return s.ended(mute)
}

func visit(s *shell, w []string) (int, error) {
	id, err := one(w, "visit")
	if err != nil {
		return wrong, err
	}
	v, _, err := s.head()
	if err != nil {
		return failed, err
	}
	found := false
	var mute []string
	for _, c := range list(v["cards"]) {
		if c["role"] != "data" || c["state"] == "left" {
			continue
		}
		lines, err := s.stream(places(c), "?visit="+url.QueryEscape(id))
		if err != nil {
			mute = append(mute, str(c["id"]))
		}
		for _, l := range lines {
			found = true
			fmt.Fprintln(s.out, l)
		}
	}
	if !found && len(mute) == 0 {
		return failed, merry.Errorf("no node remembers visit %s", id)
	}
	return s.ended(mute)
}

func (s *shell) stream(addr, query string) ([]string, error) {
	resp, err := web.Get("http://" + addr + "/decisions" + query)
	if err != nil {
		return nil, merry.Wrap(ErrAsk, merry.WithCause(err))
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, merry.Wrap(ErrAsk, merry.WithCause(err))
	}
	return strings.FieldsFunc(string(b), func(r rune) bool { return r == '\n' }), nil
}

func seats(s *shell, w []string) (int, error) {
	v, from, err := s.head()
	if err != nil {
		return failed, err
	}
	s.table(list(v["seats"]), "seat", "member", "incarnation", "staged", "shrunk", "lease")
	s.note("%s seats in all; generation %s, in force %s, grown %s; told by %s, %s ms old", str(v["seatCount"]), str(v["generation"]), str(v["inForce"]), str(v["grown"]), from, str(v["coreAgeMs"]))
	return good, nil
}

func pools(s *shell, w []string) (int, error) {
	rows, mute, err := s.each("data", "/pools")
	if err != nil {
		return failed, err
	}
	var out []map[string]any
	for _, r := range rows {
		if len(w) > 0 && w[0] != r["member"] {
			continue
		}
		for _, p := range list(r["pools"]) {
			p["member"] = r["member"]
			if p["Lane"] == "" {
				p["Lane"] = "(probe)"
			}
			out = append(out, p)
		}
	}
	s.table(out, "member", "Lane", "Addr", "Service", "Cap", "Busy", "Idle")
	return s.ended(mute)
}

func cells(s *shell, w []string) (int, error) {
	v, from, err := s.head()
	if err != nil {
		return failed, err
	}
	rows, mute, err := s.each("control", "/fleet")
	if err != nil {
		return failed, err
	}
	waits := map[string]any{}
	for _, r := range rows {
		for _, c := range list(r["cells"]) {
			if c["holder"] == r["member"] {
				waits[str(c["cell"])] = c["waitsFor"]
			}
		}
	}
	out := list(v["cells"])
	for _, c := range out {
		c["waitsFor"] = waits[str(c["cell"])]
	}
	s.table(out, "cell", "holder", "epoch", "ageMs", "waitsFor")
	s.note("told by %s", from)
	return s.ended(mute)
}

func backends(s *shell, w []string) (int, error) {
	_, from, err := s.head()
	if err != nil {
		return failed, err
	}
	v, err := fetch(from, "/backends")
	if err != nil {
		return failed, err
	}
	rows := list(v["backends"])
	sort.Slice(rows, func(i, j int) bool { return str(rows[i]["address"]) < str(rows[j]["address"]) })
	s.table(rows, "cell", "address", "service", "incarnation", "state", "slotCount", "work", "beat", "ageMs", "fresh")
	s.note("told by %s", from)
	return good, nil
}

func disks(s *shell, w []string) (int, error) {
	rows, mute, err := s.each("control", "/fleet")
	if err != nil {
		return failed, err
	}
	s.table(rows, "member", "cell", "role", "term", "commit", "diskAiling", "ringUsed", "coreAgeMs")
	for _, r := range rows {
		if r["role"] == "leader" {
			s.table(list(r["roster"]), "voter", "member", "learner", "address")
		}
	}
	return s.ended(mute)
}

func quorum(s *shell, w []string) (int, error) {
	rows, mute, err := s.each("control", "/fleet")
	if err != nil {
		return failed, err
	}
	s.table(rows, "member", "role", "ownTerm", "last", "commit", "applied", "noQuorumMs", "diskAiling", "ringUsed")
	leads := func(r map[string]any) bool { return r["role"] == "leader" && num(r["noQuorumMs"]) == 0 }
	var best map[string]any
	for _, r := range rows {
		if best == nil || leads(r) && !leads(best) || leads(r) == leads(best) && num(r["ownTerm"]) > num(best["ownTerm"]) {
			best = r
		}
	}
	s.table(list(best["roster"]), "voter", "member", "learner", "leads", "state", "match", "lag", "silentMs", "ailing", "address")
	if !leads(best) {
		s.note("no leader with a majority; the roster is %s's own word; no answer from %s", str(best["member"]), strings.Join(mute, ", "))
		return failed, nil
	}
	return s.ended(mute)
}

func history(s *shell, w []string) (int, error) {
	rows, mute, err := s.each("control", "/desired/history")
	if err != nil {
		return failed, err
	}
	for _, r := range rows {
		if r["leader"] == true {
			s.table(list(r["history"]), "generation", "changeId", "author", "bytes", "changes")
			return good, nil
		}
	}
	s.note("no leader just now; silent: %s", strings.Join(mute, ", "))
	return failed, nil
}

func (s *shell) state(gen string) ([]byte, string, error) {
	path := "/desired"
	if gen != "" {
		path += "/" + gen
	}
	last := error(ErrDoors)
	end := time.Now().Add(leaderWait)
	for i := 0; time.Now().Before(end); i++ {
		if i > 0 && i%len(s.doors) == 0 {
			time.Sleep(200 * time.Millisecond)
		}
		d := s.doors[i%len(s.doors)]
		resp, err := web.Get("http://" + d + path)
		if err != nil {
			last = merry.Wrap(ErrAsk, merry.WithCause(err))
			continue
		}
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == 200 {
			return b, strings.Trim(resp.Header.Get("ETag"), `"`), nil
		}
		last = merry.Wrap(ErrAsk, merry.AppendMessagef("%s answered %d", d, resp.StatusCode))
		if resp.StatusCode != 503 {
			break
		}
	}
	return nil, "", last
}

func show(s *shell, w []string) (int, error) {
	gen := ""
	if len(w) > 0 {
		gen = w[0]
	}
	b, g, err := s.state(gen)
	if err != nil {
		return failed, err
	}
	var out bytes.Buffer
	json.Indent(&out, b, "", " ")
	fmt.Fprintln(s.out, out.String())
	s.note("generation %s", g)
	return good, nil
}

func (s *shell) faults(list []desired.Fault) {
	for _, f := range list {
		fmt.Fprintf(s.out, "%s %s\n", f.Path, f.Text)
	}
}

func one(w []string, what string) (string, error) {
	if len(w) != 1 {
		return "", merry.Errorf("name one %s", what)
	}
	return w[0], nil
}

func read(w []string) ([]byte, error) {
	f, err := one(w, "file")
	if err != nil {
		return nil, err
	}
	return os.ReadFile(f)
}

func replayFile(s *shell, w []string) (int, error) {
	if len(w) == 0 {
		return wrong, merry.Errorf("name a file")
	}
	f, err := os.Open(w[0])
	if err != nil {
		return wrong, err
	}
	defer f.Close()
	from := uint64(0)
	if len(w) > 1 {
		if from, err = strconv.ParseUint(w[1], 10, 64); err != nil {
			return wrong, merry.Errorf("%q is not a position", w[1])
		}
	}
	if err := replay.New(s.out, from).Play(f); err != nil {
		return failed, err
	}
	return good, nil
}

func importFile(s *shell, w []string) (int, error) {
	if len(w) != 3 {
		return wrong, merry.Errorf("name a file, a tenant and how many nodes")
	}
	b, err := os.ReadFile(w[0])
	if err != nil {
		return wrong, err
	}
	n, err := strconv.Atoi(w[2])
	if err != nil || n < 1 || n > 4096 || !desired.NameOK(w[1]) {
		return wrong, merry.Errorf("%q is not a tenant's name, or %q not a number of nodes", w[1], w[2])
	}
	r, err := nginximport.Import(string(b), w[1], n)
	if err != nil {
		return unsound, err
	}
	fmt.Fprintln(s.out, string(r.Doc))
	for _, l := range r.Left {
		fmt.Fprintln(os.Stderr, "not taken:", l)
	}
	return good, nil
}

func checkFile(s *shell, w []string) (int, error) {
	b, err := read(w)
	if err != nil {
		return wrong, err
	}
	d, faults := desired.Read(b)
	if len(faults) > 0 {
		s.faults(faults)
		return unsound, nil
	}
	cal, faults := calendar.Read(d)
	if len(faults) > 0 {
		s.faults(faults)
		return unsound, nil
	}
	for _, f := range cal.Past(nil, time.Now().UnixMilli()) {
		fmt.Fprintf(s.out, "refused if it is new: %s %s\n", f.Path, f.Text)
	}
	for _, n := range cal.Regions() {
		at := time.Now().UnixMilli()
		for i := 0; i < 3; i++ {
			p, ok := cal.Next(n, at)
			if !ok {
				break
			}
			z := cal.Zone(n)
			fmt.Fprintf(s.out, "region %s: still from %s until %s\n", n, time.UnixMilli(p.From).In(z).Format(time.RFC3339), time.UnixMilli(p.Until).In(z).Format(time.RFC3339))
			at = p.Until
		}
	}
	seats, sums := d.Seats(), d.Slots()
	if d.Fleet.Open {
		fmt.Fprintf(s.out, "open fleet: %d seats, as many as the caps allow\n", seats)
	}
	for _, n := range d.ServiceNames() {
		sum, v := sums[n], d.Services[n]
		fmt.Fprintf(s.out, "service %s: %d seats x %d slots + reserve %d = %d of %d connections\n", n, seats, sum, v.Reserve, seats*sum+v.Reserve, v.MaxConnections)
	}
	return good, nil
}

func walk(path string, a, b any, say func(string)) {
	x, okA := a.(map[string]any)
	y, okB := b.(map[string]any)
	if !okA || !okB {
		if string(desired.Write(a)) != string(desired.Write(b)) {
			switch {
			case a == nil:
				say("+ " + path + " " + string(desired.Write(b)))
			case b == nil:
				say("- " + path + " " + string(desired.Write(a)))
			default:
				say("~ " + path + " " + string(desired.Write(a)) + " -> " + string(desired.Write(b)))
			}
		}
		return
	}
	all := map[string]bool{}
	for k := range x {
		all[k] = true
	}
	for k := range y {
		all[k] = true
	}
	var names []string
	for k := range all {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		walk(path+"/"+k, x[k], y[k], say)
	}
}

func diff(s *shell, w []string) (int, error) {
	b, err := read(w)
	if err != nil {
		return wrong, err
	}
	now, gen, err := s.end()
	if err != nil {
		return failed, err
	}
	a, _ := desired.ReadTree(now)
	c, faults := desired.ReadTree(b)
	if len(faults) > 0 {
		s.faults(faults)
		return unsound, nil
	}
	n := 0
	walk("", a, c, func(l string) {
		n++
		fmt.Fprintln(s.out, l)
	})
	s.note("%d changes against generation %s", n, gen)
	return good, nil
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

// holdings reads the queue of held changes; a fleet too old to have one has nothing held.
func (s *shell) holdings() (holdings, error) {
	var h holdings
	last := error(ErrDoors)
	end := time.Now().Add(leaderWait)
	for i := 0; time.Now().Before(end); i++ {
		if i > 0 && i%len(s.doors) == 0 {
			time.Sleep(200 * time.Millisecond)
		}
		d := s.doors[i%len(s.doors)]
		resp, err := web.Get("http://" + d + "/desired/held")
		if err != nil {
			last = merry.Wrap(ErrAsk, merry.WithCause(err))
			continue
		}
		err = json.NewDecoder(resp.Body).Decode(&h)
		resp.Body.Close()
		if err == nil && resp.StatusCode == 200 {
			return h, nil
		}
		last = merry.Wrap(ErrAsk, merry.AppendMessagef("%s answered %d", d, resp.StatusCode))
		if resp.StatusCode != 503 {
			break
		}
	}
	return h, last
}

// end is the state that the next change stands on, and its name.
func (s *shell) end() ([]byte, string, error) {
	b, gen, err := s.state("")
	if err != nil {
		return nil, "", err
	}
	h, err := s.holdings()
	if err != nil || len(h.Held) == 0 {
		return b, gen, nil
	}
	s.note("%d changes are held; this stands on the last of them", len(h.Held))
	return h.End, h.Basis, nil
}

func held(s *shell, w []string) (int, error) {
	if len(w) > 0 {
		return wrong, merry.Errorf("held takes no words; --filter TEXT picks rows")
	}
	h, err := s.holdings()
	if err != nil {
		return failed, err
	}
	for _, r := range h.Held {
		b, _ := json.Marshal(r["patch"])
		if r["patch"] = string(b); r["inForce"] == true {
			r["until"] = "in force"
		}
	}
	s.table(h.Held, "place", "until", "regions", "edition", "changeId", "author", "patch")
	s.note("in force: generation %d; a change stands on %s", h.Generation, h.Basis)
	return good, nil
}

func withdrawHeld(s *shell, w []string) (int, error) {
	place, err := one(w, "place")
	if err != nil {
		return wrong, err
	}
	if n, err := strconv.ParseUint(place, 10, 64); err != nil || n == 0 {
		return wrong, merry.Errorf("%q is not a place", place)
	}
	h, err := s.holdings()
	if err != nil {
		return failed, err
	}
	return s.put("DELETE", "/desired/held/"+place, nil, h.Basis)
}

func calendars(s *shell, w []string) (int, error) {
	if len(w) > 0 {
		return wrong, merry.Errorf("calendar takes no words; --filter TEXT picks rows")
	}
	h, err := s.holdings()
	if err != nil {
		return failed, err
	}
	s.table(h.Calendar, "region", "state", "from", "until", "number", "zone", "cells")
	switch {
	case len(h.Calendar) == 0:
		s.note("no calendar is given")
	case h.Clock == "":
		s.note("the leader has no clock to judge by just now")
	default:
		s.note("%d changes held; the leader's clock says %s", len(h.Held), h.Clock)
	}
	return good, nil
}

func (s *shell) put(method, path string, b []byte, gen string) (int, error) {
	id := fmt.Sprintf("shell-%d-%d", os.Getpid(), time.Now().UnixNano())
	last := error(ErrDoors)
	for i := 0; i < 3*len(s.doors); i++ {
		d := s.doors[i%len(s.doors)]
		req, err := http.NewRequest(method, "http://"+d+path, bytes.NewReader(b))
		if err != nil {
			return wrong, err
		}
		req.Header.Set("If-Match", gen)
		req.Header.Set("Sloeturn-Change-Id", id)
		req.Header.Set("Sloeturn-Author", os.Getenv("USER"))
		start := time.Now()
		c := http.Client{Timeout: 20 * time.Second}
		resp, err := c.Do(req)
		if err != nil {
			last = merry.Wrap(ErrAsk, merry.WithCause(err))
			continue
		}
		var v struct {
			Generation uint64
			Edition    uint64
			Trial      string
			Place      uint64
			Until      string
			Regions    []string
			Withdrawn  uint64
			Basis      string
			Error      string
			Faults     []desired.Fault
		}
		json.NewDecoder(resp.Body).Decode(&v)
		resp.Body.Close()
		switch resp.StatusCode {
		case 200:
			if v.Withdrawn > 0 {
				s.note("place %d is withdrawn; a change stands on %s now", v.Withdrawn, v.Basis)
				return good, nil
			}
			if v.Trial != "" {
				s.note("trial %s; generation %d stays in force", v.Trial, v.Generation)
				return good, nil
			}
			s.note("generation %d is in force, after %v", v.Generation, time.Since(start).Round(time.Millisecond))
			return good, nil
		case 202:
			if v.Until == "" {
				s.note("was held in place %d, and is not any more; generation %d stays in force", v.Place, v.Generation)
				return good, nil
			}
			s.note("held in place %d until %s, for %s stands still; generation %d stays in force", v.Place, v.Until, strings.Join(v.Regions, ", "), v.Generation)
			return good, nil
		case 412:
			s.note("another change came first: the fleet stands at generation %d, edition %d", v.Generation, v.Edition)
			if v.Basis != "" {
				s.note("changes are held; the next stands on %s", v.Basis)
			}
			return late, nil
		case 422:
			s.faults(v.Faults)
			return unsound, nil
		}
		last = merry.Wrap(ErrAsk, merry.AppendMessagef("%s answered %d: %s", d, resp.StatusCode, v.Error))
	}
	return failed, last
}

func change(method string) func(s *shell, w []string) (int, error) {
	return func(s *shell, w []string) (int, error) {
		b, err := read(w)
		if err != nil {
			return wrong, err
		}
		_, gen, err := s.end()
		if err != nil {
			return failed, err
		}
		return s.put(method, "/desired", b, gen)
	}
}

func try(s *shell, w []string) (int, error) {
	if len(w) < 2 {
		return wrong, merry.Errorf("name a file and the members that try it")
	}
	b, err := read(w[:1])
	if err != nil {
		return wrong, err
	}
	_, gen, err := s.end()
	if err != nil {
		return failed, err
	}
	return s.put("PUT", "/desired?only="+strings.Join(w[1:], ","), b, gen)
}

func withdraw(s *shell, w []string) (int, error) {
	_, gen, err := s.end()
	if err != nil {
		return failed, err
	}
	return s.put("DELETE", "/desired/trial", nil, gen)
}

func promote(s *shell, w []string) (int, error) {
	v, _, err := s.head()
	if err != nil {
		return failed, err
	}
	t, ok := v["trial"].(map[string]any)
	if !ok {
		return failed, merry.Errorf("no trial is on")
	}
	b, err := json.Marshal(t["desired"])
	if err != nil {
		return failed, merry.Wrap(ErrAsk, merry.WithCause(err))
	}
	now, _, err := s.state("")
	if err != nil {
		return failed, err
	}
	end, gen, err := s.end()
	if err != nil {
		return failed, err
	}
	if !bytes.Equal(now, end) {
		from, _ := desired.ReadTree(now)
		to, _ := desired.ReadTree(b)
		return s.put("PATCH", "/desired", desired.Write(desired.Diff(from, to)), gen)
	}
	return s.put("PUT", "/desired", b, gen)
}

func rollback(s *shell, w []string) (int, error) {
	g, err := one(w, "generation")
	if err != nil {
		return wrong, err
	}
	b, _, err := s.state(g)
	if err != nil {
		return failed, err
	}
	now, gen, err := s.end()
	if err != nil {
		return failed, err
	}
	h, err := s.holdings()
	if err != nil {
		h.Edition = 0
	}
	if e := max(desired.EditionOf(now), h.Edition); e > 0 {
		tree, _ := desired.ReadTree(b)
		next := strconv.FormatUint(e+1, 10)
		b = desired.Write(desired.Merge(tree, map[string]any{"edition": json.Number(next)}))
		s.note("as edition %s, for editions rise", next)
	}
	return s.put("PUT", "/desired", b, gen)
}

func (s *shell) desired() (*desired.State, string, error) {
	b, gen, err := s.state("")
	if err != nil {
		return nil, "", err
	}
	if gen == "0" {
		return nil, "", merry.Errorf("no desired state is set")
	}
	d, faults := desired.Read(b)
	if len(faults) > 0 {
		return nil, "", merry.Errorf("generation %s does not read here", gen)
	}
	return d, gen, nil
}

func told(d *desired.State, gen string) string {
	if d.Edition > 0 {
		return fmt.Sprintf("generation %s, edition %d", gen, d.Edition)
	}
	return "generation " + gen
}

func routes(s *shell, w []string) (int, error) {
	if len(w) > 0 {
		return wrong, merry.Errorf("routes takes no words; --filter TEXT picks rows")
	}
	d, gen, err := s.desired()
	if err != nil {
		return failed, err
	}
	var out []map[string]any
	for _, n := range d.RouteNames() {
		r := d.Routes[n]
		var lanes []string
		for _, t := range r.Targets {
			lanes = append(lanes, fmt.Sprintf("%s:%d", t.Rule.Name, t.Weight))
		}
		var aim any
		if r.Aim > 0 {
			aim = float64(r.Aim.Milliseconds())
		}
		out = append(out, map[string]any{"route": n, "host": r.Host, "prefix": r.Prefix, "lanes": strings.Join(lanes, " "), "repeatable": r.Repeatable, "shots": float64(r.Shots), "wholeMs": float64(r.Whole.Milliseconds()), "aimMs": aim, "rank": float64(r.Rank)})
	}
	s.table(out, "route", "host", "prefix", "lanes", "repeatable", "shots", "wholeMs", "aimMs", "rank")
	s.note("%d routes; %s", len(out), told(d, gen))
	return good, nil
}

func route(s *shell, w []string) (int, error) {
	if len(w) != 2 || !strings.HasPrefix(w[1], "/") {
		return wrong, merry.Errorf("name a host and a path that starts with '/'")
	}
	host := strings.ToLower(w[0])
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path, _, _ := strings.Cut(w[1], "?")
	d, gen, err := s.desired()
	if err != nil {
		return failed, err
	}
	r := d.Find(host, path)
	if r == nil {
		s.note("no route takes %s %s; %s", host, path, told(d, gen))
		return failed, nil
	}
	var out []map[string]any
	for _, t := range r.Targets {
		l := t.Rule
		out = append(out, map[string]any{"route": r.Name, "prefix": r.Prefix, "lane": string(l.Name), "service": string(l.Service), "tenant": l.Tenant, "share": fmt.Sprintf("%.4g%%", 100*float64(t.Weight)/float64(r.Sum)), "waitMs": float64(l.Wait.Milliseconds()), "connectMs": float64(l.Connect.Milliseconds()), "wholeMs": float64(l.Whole.Milliseconds()), "shots": float64(l.Shots), "repeatable": l.Again})
	}
	s.table(out, "route", "prefix", "lane", "service", "tenant", "share", "waitMs", "connectMs", "wholeMs", "shots", "repeatable")
	s.note("%s", told(d, gen))
	return good, nil
}

func (s *shell) post(addr, path string, v any) (int, error) {
	b, _ := json.Marshal(v)
	resp, err := web.Post("http://"+addr+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return failed, merry.Wrap(ErrAsk, merry.WithCause(err))
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	fmt.Fprint(s.out, string(out))
	if resp.StatusCode >= 300 {
		return failed, nil
	}
	return good, nil
}

func free(s *shell, w []string) (int, error) {
	k, err := one(w, "seat")
	if err != nil {
		return wrong, err
	}
	v, from, err := s.head()
	if err != nil {
		return failed, err
	}
	for _, l := range list(v["seats"]) {
		if str(l["seat"]) != k {
			continue
		}
		if !s.gone {
			return wrong, merry.Errorf("seat %s is held by %s; say --yes-its-sockets-are-gone if that machine is off", k, str(l["member"]))
		}
		return s.post(from, "/seats/"+k+"/free", map[string]any{"member": l["member"], "incarnation": l["incarnation"], "proof": "its sockets are gone"})
	}
	return failed, merry.Errorf("seat %s is not held", k)
}

func (s *shell) find(name string) (string, error) {
	v, _, err := s.head()
	if err != nil {
		return "", err
	}
	for _, c := range list(v["cards"]) {
		if c["id"] == name {
			return places(c), nil
		}
	}
	return "", merry.Errorf("no member named %q", name)
}

func drain(s *shell, w []string) (int, error) {
	n, err := one(w, "member")
	if err != nil {
		return wrong, err
	}
	addr, err := s.find(n)
	if err != nil {
		return failed, err
	}
	return s.post(addr, "/drain", nil)
}

func decisions(s *shell, w []string) (int, error) {
	if len(w) == 0 {
		return wrong, merry.Errorf("name a member")
	}
	addr, err := s.find(w[0])
	if err != nil {
		return failed, err
	}
	query := ""
	if len(w) > 1 {
		query = "?lane=" + url.QueryEscape(w[1])
	}
	lines, err := s.stream(addr, query)
	if err != nil {
		return failed, err
	}
	for _, l := range lines[max(0, len(lines)-50):] {
		if strings.Contains(l, s.filter) {
			fmt.Fprintln(s.out, l)
		}
	}
	return good, nil
}
