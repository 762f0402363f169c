package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"sloeturn/calendar"
	"sloeturn/desired"
	"sloeturn/nginximport"
	"sloeturn/replay"
)

// fetchState returns a generation of the desired state, the current one for "", and its number. It retries
// while there is no leader.
func (s *shell) fetchState(generation string) ([]byte, string, error) {
	path := "/desired"
	if generation != "" {
		path += "/" + generation
	}
	lastErr := error(ErrNoControl)
	deadline := time.Now().Add(leaderTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		if i > 0 && i%len(s.addresses) == 0 {
			time.Sleep(200 * time.Millisecond)
		}
		address := s.addresses[i%len(s.addresses)]
		resp, err := httpClient.Get("http://" + address + path)
		if err != nil {
			lastErr = merry.Wrap(ErrQuery, merry.WithCause(err))
			continue
		}
		document, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == 200 {
			return document, strings.Trim(resp.Header.Get("ETag"), `"`), nil
		}
		lastErr = merry.Wrap(ErrQuery, merry.AppendMessagef("%s answered %d", address, resp.StatusCode))
		if resp.StatusCode != 503 {
			break
		}
	}
	return nil, "", lastErr
}

func showState(s *shell, arguments []string) (int, error) {
	wanted := ""
	if len(arguments) > 0 {
		wanted = arguments[0]
	}
	document, generation, err := s.fetchState(wanted)
	if err != nil {
		return exitFailed, err
	}
	var indented bytes.Buffer
	json.Indent(&indented, document, "", " ")
	fmt.Fprintln(s.out, indented.String())
	s.printNote("generation %s", generation)
	return exitOK, nil
}

func (s *shell) printFaults(faults []desired.Fault) {
	for _, f := range faults {
		fmt.Fprintf(s.out, "%s %s\n", f.Path, f.Text)
	}
}

// fetchDesired returns the current desired state, parsed.
func (s *shell) fetchDesired() (*desired.State, string, error) {
	document, generation, err := s.fetchState("")
	if err != nil {
		return nil, "", err
	}
	if generation == "0" {
		return nil, "", merry.Errorf("no desired state is set")
	}
	state, faults := desired.Read(document)
	if len(faults) > 0 {
		return nil, "", merry.Errorf("this build cannot parse generation %s", generation)
	}
	return state, generation, nil
}

// formatVersion names the version of a desired state, with its edition if it has one.
func formatVersion(state *desired.State, generation string) string {
	if state.Edition > 0 {
		return fmt.Sprintf("generation %s, edition %d", generation, state.Edition)
	}
	return "generation " + generation
}

func showRoutes(s *shell, arguments []string) (int, error) {
	if len(arguments) > 0 {
		return exitUsage, merry.Errorf("routes takes no arguments; --filter TEXT selects rows")
	}
	state, generation, err := s.fetchDesired()
	if err != nil {
		return exitFailed, err
	}
	var rows []map[string]any
	for _, name := range state.RouteNames() {
		route := state.Routes[name]
		var lanes []string
		for _, target := range route.Targets {
			lanes = append(lanes, fmt.Sprintf("%s:%d", target.Lane.Name, target.Weight))
		}
		var latencyTarget any
		if route.TargetLatency > 0 {
			latencyTarget = float64(route.TargetLatency.Milliseconds())
		}
		rows = append(rows, map[string]any{"route": name, "host": route.Host, "prefix": route.Prefix, "lanes": strings.Join(lanes, " "), "repeatable": route.Repeatable, "shots": float64(route.MaxAttempts), "wholeMs": float64(route.RequestTimeout.Milliseconds()), "aimMs": latencyTarget, "rank": float64(route.Priority)})
	}
	s.printTable(rows, "route", "host", "prefix", "lanes", "repeatable", "shots", "wholeMs", "aimMs", "rank")
	s.printNote("%d routes; %s", len(rows), formatVersion(state, generation))
	return exitOK, nil
}

func showMatchingRoute(s *shell, arguments []string) (int, error) {
	if len(arguments) != 2 || !strings.HasPrefix(arguments[1], "/") {
		return exitUsage, merry.Errorf("expected a host and a path that starts with '/'")
	}
	host := strings.ToLower(arguments[0])
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(arguments[1], "?")
	state, generation, err := s.fetchDesired()
	if err != nil {
		return exitFailed, err
	}
	route := state.FindRoute(host, path)
	if route == nil {
		s.printNote("no route matches %s %s; %s", host, path, formatVersion(state, generation))
		return exitFailed, nil
	}
	var rows []map[string]any
	for _, target := range route.Targets {
		lane := target.Lane
		rows = append(rows, map[string]any{"route": route.Name, "prefix": route.Prefix, "lane": string(lane.Name), "service": string(lane.Service), "tenant": lane.Tenant, "share": fmt.Sprintf("%.4g%%", 100*float64(target.Weight)/float64(route.TotalWeight)), "waitMs": float64(lane.MaxWait.Milliseconds()), "connectMs": float64(lane.ConnectTimeout.Milliseconds()), "wholeMs": float64(lane.RequestTimeout.Milliseconds()), "shots": float64(lane.MaxAttempts), "repeatable": lane.Repeatable})
	}
	s.printTable(rows, "route", "prefix", "lane", "service", "tenant", "share", "waitMs", "connectMs", "wholeMs", "shots", "repeatable")
	s.printNote("%s", formatVersion(state, generation))
	return exitOK, nil
}

// walkDiff emits a line for each value that differs between two JSON trees, in the order of their paths.
func walkDiff(path string, before, after any, emit func(string)) {
	beforeObject, beforeIsObject := before.(map[string]any)
	afterObject, afterIsObject := after.(map[string]any)
	if !beforeIsObject || !afterIsObject {
		if string(desired.Write(before)) != string(desired.Write(after)) {
			switch {
			case before == nil:
				emit("+ " + path + " " + string(desired.Write(after)))
			case after == nil:
				emit("- " + path + " " + string(desired.Write(before)))
			default:
				emit("~ " + path + " " + string(desired.Write(before)) + " -> " + string(desired.Write(after)))
			}
		}
		return
	}
	keys := map[string]bool{}
	for key := range beforeObject {
		keys[key] = true
	}
	for key := range afterObject {
		keys[key] = true
	}
	var names []string
	for key := range keys {
		names = append(names, key)
	}
	sort.Strings(names)
	for _, key := range names {
		walkDiff(path+"/"+key, beforeObject[key], afterObject[key], emit)
	}
}

func diffFile(s *shell, arguments []string) (int, error) {
	document, err := readFileArgument(arguments)
	if err != nil {
		return exitUsage, err
	}
	base, generation, err := s.changeBase()
	if err != nil {
		return exitFailed, err
	}
	before, _ := desired.ReadTree(base)
	after, faults := desired.ReadTree(document)
	if len(faults) > 0 {
		s.printFaults(faults)
		return exitInvalid, nil
	}
	count := 0
	walkDiff("", before, after, func(line string) {
		count++
		fmt.Fprintln(s.out, line)
	})
	s.printNote("%d changes against generation %s", count, generation)
	return exitOK, nil
}

// checkFile validates a desired state, and prints the next blackout periods of each region and the
// connections of each service.
func checkFile(s *shell, arguments []string) (int, error) {
	document, err := readFileArgument(arguments)
	if err != nil {
		return exitUsage, err
	}
	state, faults := desired.Read(document)
	if len(faults) > 0 {
		s.printFaults(faults)
		return exitInvalid, nil
	}
	cal, faults := calendar.Read(state)
	if len(faults) > 0 {
		s.printFaults(faults)
		return exitInvalid, nil
	}
	for _, fault := range cal.CheckPast(nil, time.Now().UnixMilli()) {
		fmt.Fprintf(s.out, "refused unless it stands in the current state already: %s %s\n", fault.Path, fault.Text)
	}
	for _, name := range cal.Regions() {
		fromMs := time.Now().UnixMilli()
		for i := 0; i < 3; i++ {
			period, ok := cal.NextPeriod(name, fromMs)
			if !ok {
				break
			}
			zone := cal.Location(name)
			fmt.Fprintf(s.out, "region %s: blackout period from %s until %s\n", name, time.UnixMilli(period.StartMs).In(zone).Format(time.RFC3339), time.UnixMilli(period.EndMs).In(zone).Format(time.RFC3339))
			fromMs = period.EndMs
		}
	}
	seats, slotsOf := state.Seats(), state.SlotsPerSeat()
	if state.Fleet.Open {
		fmt.Fprintf(s.out, "open fleet: %d seats, as many as the connection limits allow\n", seats)
	}
	for _, name := range state.ServiceNames() {
		slots, service := slotsOf[name], state.Services[name]
		fmt.Fprintf(s.out, "service %s: %d seats x %d slots + reserve %d = %d of %d connections\n", name, seats, slots, service.Reserve, seats*slots+service.Reserve, service.MaxConnections)
	}
	return exitOK, nil
}

func importFile(s *shell, arguments []string) (int, error) {
	if len(arguments) != 3 {
		return exitUsage, merry.Errorf("expected a file, a tenant and a number of nodes")
	}
	document, err := os.ReadFile(arguments[0])
	if err != nil {
		return exitUsage, err
	}
	nodes, err := strconv.Atoi(arguments[2])
	if err != nil || nodes < 1 || nodes > 4096 || !desired.ValidName(arguments[1]) {
		return exitUsage, merry.Errorf("%q is not a valid tenant name, or %q is not a number of nodes", arguments[1], arguments[2])
	}
	result, err := nginximport.Import(string(document), arguments[1], nodes)
	if err != nil {
		return exitInvalid, err
	}
	fmt.Fprintln(s.out, string(result.Document))
	for _, directive := range result.Skipped {
		fmt.Fprintln(os.Stderr, "skipped:", directive)
	}
	return exitOK, nil
}

func replayFile(s *shell, arguments []string) (int, error) {
	if len(arguments) == 0 {
		return exitUsage, merry.Errorf("expected a file")
	}
	file, err := os.Open(arguments[0])
	if err != nil {
		return exitUsage, err
	}
	defer file.Close()
	position := uint64(0)
	if len(arguments) > 1 {
		if position, err = strconv.ParseUint(arguments[1], 10, 64); err != nil {
			return exitUsage, merry.Errorf("%q is not a position", arguments[1])
		}
	}
	if err := replay.New(s.out, position).Play(file); err != nil {
		return exitFailed, err
	}
	return exitOK, nil
}

// readFileArgument reads the file that the only argument names.
func readFileArgument(arguments []string) ([]byte, error) {
	name, err := singleArgument(arguments, "file")
	if err != nil {
		return nil, err
	}
	return os.ReadFile(name)
}
