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

func showMembers(s *shell, arguments []string) (int, error) {
	status, from, err := s.freshestStatus()
	if err != nil {
		return exitFailed, err
	}
	s.printTable(objectsOf(status["cards"]), "id", "cell", "role", "state", "ready", "leaving", "build", "address", "accusers")
	s.printNote("reported by %s at %s", formatValue(status["member"]), from)
	return exitOK, nil
}

// operatorsAddr returns the operators' address in a member record; "http" lists it after a comma.
func operatorsAddr(record map[string]any) string {
	_, operators, _ := strings.Cut(formatValue(record["http"]), ",")
	return operators
}

func showNodes(s *shell, arguments []string) (int, error) {
	rows, unreachable, err := s.fetchByRole("data", "/fleet")
	if err != nil {
		return exitFailed, err
	}
	s.printTable(rows, "member", "cell", "ready", "why", "seat", "generation", "coreAgeMs", "parent", "openVisits", "held", "canceled", "build")
	return s.exitCode(unreachable)
}

func showTree(s *shell, arguments []string) (int, error) {
	status, _, err := s.freshestStatus()
	if err != nil {
		return exitFailed, err
	}
	rows, unreachable, err := s.fetchByRole("data", "/fleet")
	if err != nil {
		return exitFailed, err
	}
	// Nodes report their parent's address; the table shows its name and the hops from the control plane.
	nameOf := map[string]string{}
	for _, record := range objectsOf(status["cards"]) {
		nameOf[formatValue(record["address"])] = formatValue(record["id"])
	}
	parentOf := map[string]string{}
	for _, row := range rows {
		row["parent"] = nameOf[formatValue(row["parent"])]
		parentOf[formatValue(row["member"])] = formatValue(row["parent"])
	}
	for _, row := range rows {
		hops := 1
		for parent := formatValue(row["parent"]); parentOf[parent] != "" && hops <= len(rows); parent = parentOf[parent] {
			hops++
		}
		row["hops"] = float64(hops)
	}
	sort.SliceStable(rows, func(i, j int) bool { return numberOf(rows[i]["hops"]) < numberOf(rows[j]["hops"]) })
	s.printTable(rows, "member", "parent", "hops", "coreAgeMs", "generation", "trial")
	return s.exitCode(unreachable)
}

// showConnectionLimits compares the connections that all nodes hold to each backend with the number that
// the seats allow and the number that the backend accepts.
func showConnectionLimits(s *shell, arguments []string) (int, error) {
	status, from, err := s.freshestStatus()
	if err != nil {
		return exitFailed, err
	}
	document, generation, err := s.fetchState("")
	if err != nil {
		return exitFailed, err
	}
	state, faults := desired.Read(document)
	if len(faults) > 0 {
		return exitFailed, merry.Errorf("this build cannot parse generation %s", generation)
	}
	nodes, unreachable, err := s.fetchByRole("data", "/pools")
	if err != nil {
		return exitFailed, err
	}
	held := map[string]float64{}
	for _, node := range nodes {
		for _, pool := range objectsOf(node["pools"]) {
			held[formatValue(pool["Addr"])] += numberOf(pool["Busy"]) + numberOf(pool["Idle"])
		}
	}
	answer, err := fetchJSON(from, "/backends")
	if err != nil {
		return exitFailed, err
	}
	var rows []map[string]any
	slotsOf := state.SlotsPerSeat()
	for _, backend := range objectsOf(answer["backends"]) {
		service := state.Services[ident.Service(formatValue(backend["service"]))]
		if service == nil {
			continue
		}
		maxHeld := numberOf(status["seatCount"]) * float64(slotsOf[service.Name])
		rows = append(rows, map[string]any{"backend": backend["address"], "service": backend["service"], "held": held[formatValue(backend["address"])], "most": maxHeld, "reserve": float64(service.Reserve), "accepts": float64(service.MaxConnections), "spare": float64(service.MaxConnections-service.Reserve) - maxHeld})
	}
	sort.Slice(rows, func(i, j int) bool { return formatValue(rows[i]["backend"]) < formatValue(rows[j]["backend"]) })
	s.printTable(rows, "backend", "service", "held", "most", "reserve", "accepts", "spare")
	s.printNote("generation %s, grown %s, %s seats", generation, formatValue(status["grown"]), formatValue(status["seatCount"]))
	return s.exitCode(unreachable)
}

func showRequest(s *shell, arguments []string) (int, error) {
	id, err := singleArgument(arguments, "request id")
	if err != nil {
		return exitUsage, err
	}
	status, _, err := s.freshestStatus()
	if err != nil {
		return exitFailed, err
	}
	found := false
	var unreachable []string
	for _, record := range objectsOf(status["cards"]) {
		if record["role"] != "data" || record["state"] == "left" {
			continue
		}
		lines, err := s.fetchDecisions(operatorsAddr(record), "?visit="+url.QueryEscape(id))
		if err != nil {
			unreachable = append(unreachable, formatValue(record["id"]))
		}
		for _, line := range lines {
			found = true
			fmt.Fprintln(s.out, line)
		}
	}
	if !found && len(unreachable) == 0 {
		return exitFailed, merry.Errorf("no node has decisions about request %s", id)
	}
	return s.exitCode(unreachable)
}

// fetchDecisions returns a member's decisions, one JSON line each.
func (s *shell) fetchDecisions(addr, query string) ([]string, error) {
	resp, err := httpClient.Get("http://" + addr + "/decisions" + query)
	if err != nil {
		return nil, merry.Wrap(ErrQuery, merry.WithCause(err))
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, merry.Wrap(ErrQuery, merry.WithCause(err))
	}
	return strings.FieldsFunc(string(body), func(character rune) bool { return character == '\n' }), nil
}

func showSeats(s *shell, arguments []string) (int, error) {
	status, from, err := s.freshestStatus()
	if err != nil {
		return exitFailed, err
	}
	s.printTable(objectsOf(status["seats"]), "seat", "member", "incarnation", "staged", "shrunk", "lease")
	s.printNote("%s seats in total; generation %s, in effect %s, grown %s; reported by %s, %s ms old", formatValue(status["seatCount"]), formatValue(status["generation"]), formatValue(status["inForce"]), formatValue(status["grown"]), from, formatValue(status["coreAgeMs"]))
	return exitOK, nil
}

func showPools(s *shell, arguments []string) (int, error) {
	nodes, unreachable, err := s.fetchByRole("data", "/pools")
	if err != nil {
		return exitFailed, err
	}
	var rows []map[string]any
	for _, node := range nodes {
		if len(arguments) > 0 && arguments[0] != node["member"] {
			continue
		}
		for _, pool := range objectsOf(node["pools"]) {
			pool["member"] = node["member"]
			if pool["Lane"] == "" {
				pool["Lane"] = "(probe)"
			}
			rows = append(rows, pool)
		}
	}
	s.printTable(rows, "member", "Lane", "Addr", "Service", "Cap", "Busy", "Idle")
	return s.exitCode(unreachable)
}

func showCells(s *shell, arguments []string) (int, error) {
	status, from, err := s.freshestStatus()
	if err != nil {
		return exitFailed, err
	}
	rows, unreachable, err := s.fetchByRole("control", "/fleet")
	if err != nil {
		return exitFailed, err
	}
	// Only a cell's holder knows for whom it waits.
	waitsFor := map[string]any{}
	for _, row := range rows {
		for _, cell := range objectsOf(row["cells"]) {
			if cell["holder"] == row["member"] {
				waitsFor[formatValue(cell["cell"])] = cell["waitsFor"]
			}
		}
	}
	cells := objectsOf(status["cells"])
	for _, cell := range cells {
		cell["waitsFor"] = waitsFor[formatValue(cell["cell"])]
	}
	s.printTable(cells, "cell", "holder", "epoch", "ageMs", "waitsFor")
	s.printNote("reported by %s", from)
	return s.exitCode(unreachable)
}

func showBackends(s *shell, arguments []string) (int, error) {
	_, from, err := s.freshestStatus()
	if err != nil {
		return exitFailed, err
	}
	answer, err := fetchJSON(from, "/backends")
	if err != nil {
		return exitFailed, err
	}
	rows := objectsOf(answer["backends"])
	sort.Slice(rows, func(i, j int) bool { return formatValue(rows[i]["address"]) < formatValue(rows[j]["address"]) })
	s.printTable(rows, "cell", "address", "service", "incarnation", "state", "slotCount", "work", "beat", "ageMs", "fresh")
	s.printNote("reported by %s", from)
	return exitOK, nil
}

func showDisks(s *shell, arguments []string) (int, error) {
	rows, unreachable, err := s.fetchByRole("control", "/fleet")
	if err != nil {
		return exitFailed, err
	}
	s.printTable(rows, "member", "cell", "role", "term", "commit", "diskAiling", "ringUsed", "coreAgeMs")
	for _, row := range rows {
		if row["role"] == "leader" {
			s.printTable(objectsOf(row["roster"]), "voter", "member", "learner", "address")
		}
	}
	return s.exitCode(unreachable)
}

func showQuorum(s *shell, arguments []string) (int, error) {
	rows, unreachable, err := s.fetchByRole("control", "/fleet")
	if err != nil {
		return exitFailed, err
	}
	s.printTable(rows, "member", "role", "ownTerm", "last", "commit", "applied", "noQuorumMs", "diskAiling", "ringUsed")
	// The membership configuration shown is that of the leader, or without one that of the highest term.
	leadsMajority := func(row map[string]any) bool { return row["role"] == "leader" && numberOf(row["noQuorumMs"]) == 0 }
	var best map[string]any
	for _, row := range rows {
		if best == nil || leadsMajority(row) && !leadsMajority(best) || leadsMajority(row) == leadsMajority(best) && numberOf(row["ownTerm"]) > numberOf(best["ownTerm"]) {
			best = row
		}
	}
	s.printTable(objectsOf(best["roster"]), "voter", "member", "learner", "leads", "state", "match", "lag", "silentMs", "ailing", "address")
	if !leadsMajority(best) {
		s.printNote("no leader with a majority; the membership configuration is the one known to %s; no answer from %s", formatValue(best["member"]), strings.Join(unreachable, ", "))
		return exitFailed, nil
	}
	return s.exitCode(unreachable)
}

func showHistory(s *shell, arguments []string) (int, error) {
	rows, unreachable, err := s.fetchByRole("control", "/desired/history")
	if err != nil {
		return exitFailed, err
	}
	for _, row := range rows {
		if row["leader"] == true {
			s.printTable(objectsOf(row["history"]), "generation", "changeId", "author", "bytes", "changes")
			return exitOK, nil
		}
	}
	s.printNote("no leader at present; no answer from %s", strings.Join(unreachable, ", "))
	return exitFailed, nil
}

func showDecisions(s *shell, arguments []string) (int, error) {
	if len(arguments) == 0 {
		return exitUsage, merry.Errorf("expected a member")
	}
	address, err := s.memberAddr(arguments[0])
	if err != nil {
		return exitFailed, err
	}
	query := ""
	if len(arguments) > 1 {
		query = "?lane=" + url.QueryEscape(arguments[1])
	}
	lines, err := s.fetchDecisions(address, query)
	if err != nil {
		return exitFailed, err
	}
	for _, line := range lines[max(0, len(lines)-50):] {
		if strings.Contains(line, s.filter) {
			fmt.Fprintln(s.out, line)
		}
	}
	return exitOK, nil
}
