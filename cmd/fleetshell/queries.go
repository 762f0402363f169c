package main

import (
	"fmt"
	"io"
	"net/url"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"

	"sloeturn/desired"
	"sloeturn/ident"
)

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

func nodes(s *shell, w []string) (int, error) {
	rows, mute, err := s.each("data", "/fleet")
	if err != nil {
		return failed, err
	}
	s.table(rows, "member", "cell", "ready", "why", "seat", "generation", "coreAgeMs", "parent", "openVisits", "held", "canceled", "build")
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
