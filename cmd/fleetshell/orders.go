package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"sloeturn/desired"
)

// sendChange sends a change to one control process after another, under one change id, until one gives a
// definite answer, and returns the exit code for it.
func (s *shell) sendChange(method, path string, body []byte, baseVersion string) (int, error) {
	changeID := fmt.Sprintf("shell-%d-%d", os.Getpid(), time.Now().UnixNano())
	lastErr := error(ErrNoControl)
	for i := 0; i < 3*len(s.addresses); i++ {
		address := s.addresses[i%len(s.addresses)]
		req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return exitUsage, err
		}
		req.Header.Set("If-Match", baseVersion)
		req.Header.Set("Sloeturn-Change-Id", changeID)
		req.Header.Set("Sloeturn-Author", os.Getenv("USER"))
		start := time.Now()
		client := http.Client{Timeout: 20 * time.Second}
		resp, err := client.Do(req)
		if err != nil {
			lastErr = merry.Wrap(ErrQuery, merry.WithCause(err))
			continue
		}
		var answer struct {
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
		json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		switch resp.StatusCode {
		case 200:
			if answer.Withdrawn > 0 {
				s.printNote("held change %d is withdrawn; the next change is based on %s", answer.Withdrawn, answer.Basis)
				return exitOK, nil
			}
			if answer.Trial != "" {
				s.printNote("trial %s; generation %d stays in effect", answer.Trial, answer.Generation)
				return exitOK, nil
			}
			s.printNote("generation %d is in effect, after %v", answer.Generation, time.Since(start).Round(time.Millisecond))
			return exitOK, nil
		case 202:
			if answer.Until == "" {
				s.printNote("was held in place %d but is no longer held; generation %d stays in effect", answer.Place, answer.Generation)
				return exitOK, nil
			}
			s.printNote("held in place %d until %s by the blackout period of %s; generation %d stays in effect", answer.Place, answer.Until, strings.Join(answer.Regions, ", "), answer.Generation)
			return exitOK, nil
		case 412:
			s.printNote("another change came first: the fleet is at generation %d, edition %d", answer.Generation, answer.Edition)
			if answer.Basis != "" {
				s.printNote("changes are held; the next change is based on %s", answer.Basis)
			}
			return exitConflict, nil
		case 422:
			s.printFaults(answer.Faults)
			return exitInvalid, nil
		}
		lastErr = merry.Wrap(ErrQuery, merry.AppendMessagef("%s answered %d: %s", address, resp.StatusCode, answer.Error))
	}
	return exitFailed, lastErr
}

// changeCommand returns the query that sends a file with the given method: PUT replaces, PATCH merges.
func changeCommand(method string) func(s *shell, arguments []string) (int, error) {
	return func(s *shell, arguments []string) (int, error) {
		document, err := readFileArgument(arguments)
		if err != nil {
			return exitUsage, err
		}
		_, baseVersion, err := s.changeBase()
		if err != nil {
			return exitFailed, err
		}
		return s.sendChange(method, "/desired", document, baseVersion)
	}
}

func startTrial(s *shell, arguments []string) (int, error) {
	if len(arguments) < 2 {
		return exitUsage, merry.Errorf("expected a file and the members of the trial")
	}
	document, err := readFileArgument(arguments[:1])
	if err != nil {
		return exitUsage, err
	}
	_, baseVersion, err := s.changeBase()
	if err != nil {
		return exitFailed, err
	}
	return s.sendChange("PUT", "/desired?only="+strings.Join(arguments[1:], ","), document, baseVersion)
}

func endTrial(s *shell, arguments []string) (int, error) {
	_, baseVersion, err := s.changeBase()
	if err != nil {
		return exitFailed, err
	}
	return s.sendChange("DELETE", "/desired/trial", nil, baseVersion)
}

// promoteTrial makes the trial the desired state. While changes are held, it sends only the difference
// between the current state and the trial, so that the held changes are kept.
func promoteTrial(s *shell, arguments []string) (int, error) {
	status, _, err := s.freshestStatus()
	if err != nil {
		return exitFailed, err
	}
	trial, ok := status["trial"].(map[string]any)
	if !ok {
		return exitFailed, merry.Errorf("no trial is running")
	}
	document, err := json.Marshal(trial["desired"])
	if err != nil {
		return exitFailed, merry.Wrap(ErrQuery, merry.WithCause(err))
	}
	current, _, err := s.fetchState("")
	if err != nil {
		return exitFailed, err
	}
	base, baseVersion, err := s.changeBase()
	if err != nil {
		return exitFailed, err
	}
	if !bytes.Equal(current, base) {
		from, _ := desired.ReadTree(current)
		to, _ := desired.ReadTree(document)
		return s.sendChange("PATCH", "/desired", desired.Write(desired.Diff(from, to)), baseVersion)
	}
	return s.sendChange("PUT", "/desired", document, baseVersion)
}

// rollBack applies an earlier generation again. It gets a new edition if editions are in use, as they must
// increase with each change.
func rollBack(s *shell, arguments []string) (int, error) {
	generation, err := singleArgument(arguments, "generation")
	if err != nil {
		return exitUsage, err
	}
	document, _, err := s.fetchState(generation)
	if err != nil {
		return exitFailed, err
	}
	base, baseVersion, err := s.changeBase()
	if err != nil {
		return exitFailed, err
	}
	held, err := s.fetchHeldChanges()
	if err != nil {
		held.Edition = 0
	}
	if edition := max(desired.EditionOf(base), held.Edition); edition > 0 {
		tree, _ := desired.ReadTree(document)
		nextEdition := strconv.FormatUint(edition+1, 10)
		document = desired.Write(desired.Merge(tree, map[string]any{"edition": json.Number(nextEdition)}))
		s.printNote("applied as edition %s, as editions must increase", nextEdition)
	}
	return s.sendChange("PUT", "/desired", document, baseVersion)
}

// fetchHeldChanges returns the queue of held changes. Callers treat an error as an empty queue where a fleet
// of an older build, which has no queue, must be supported.
func (s *shell) fetchHeldChanges() (heldChanges, error) {
	var held heldChanges
	lastErr := error(ErrNoControl)
	deadline := time.Now().Add(leaderTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		if i > 0 && i%len(s.addresses) == 0 {
			time.Sleep(200 * time.Millisecond)
		}
		address := s.addresses[i%len(s.addresses)]
		resp, err := httpClient.Get("http://" + address + "/desired/held")
		if err != nil {
			lastErr = merry.Wrap(ErrQuery, merry.WithCause(err))
			continue
		}
		err = json.NewDecoder(resp.Body).Decode(&held)
		resp.Body.Close()
		if err == nil && resp.StatusCode == 200 {
			return held, nil
		}
		lastErr = merry.Wrap(ErrQuery, merry.AppendMessagef("%s answered %d", address, resp.StatusCode))
		if resp.StatusCode != 503 {
			break
		}
	}
	return held, lastErr
}

// changeBase returns the state on which the next change is based, including held changes, and its version.
func (s *shell) changeBase() ([]byte, string, error) {
	document, generation, err := s.fetchState("")
	if err != nil {
		return nil, "", err
	}
	held, err := s.fetchHeldChanges()
	if err != nil || len(held.Held) == 0 {
		return document, generation, nil
	}
	s.printNote("%d changes are held; this one is based on the last of them", len(held.Held))
	return held.End, held.Basis, nil
}

func showHeldChanges(s *shell, arguments []string) (int, error) {
	if len(arguments) > 0 {
		return exitUsage, merry.Errorf("held takes no arguments; --filter TEXT selects rows")
	}
	held, err := s.fetchHeldChanges()
	if err != nil {
		return exitFailed, err
	}
	for _, row := range held.Held {
		patch, _ := json.Marshal(row["patch"])
		if row["patch"] = string(patch); row["inForce"] == true {
			row["until"] = "in force"
		}
	}
	s.printTable(held.Held, "place", "until", "regions", "edition", "changeId", "author", "patch")
	s.printNote("in effect: generation %d; the next change is based on %s", held.Generation, held.Basis)
	return exitOK, nil
}

func withdrawHeldChange(s *shell, arguments []string) (int, error) {
	place, err := singleArgument(arguments, "place")
	if err != nil {
		return exitUsage, err
	}
	if number, err := strconv.ParseUint(place, 10, 64); err != nil || number == 0 {
		return exitUsage, merry.Errorf("%q is not the place of a held change", place)
	}
	held, err := s.fetchHeldChanges()
	if err != nil {
		return exitFailed, err
	}
	return s.sendChange("DELETE", "/desired/held/"+place, nil, held.Basis)
}

func showCalendar(s *shell, arguments []string) (int, error) {
	if len(arguments) > 0 {
		return exitUsage, merry.Errorf("calendar takes no arguments; --filter TEXT selects rows")
	}
	held, err := s.fetchHeldChanges()
	if err != nil {
		return exitFailed, err
	}
	s.printTable(held.Calendar, "region", "state", "from", "until", "number", "zone", "cells")
	switch {
	case len(held.Calendar) == 0:
		s.printNote("no calendar is set")
	case held.Clock == "":
		s.printNote("the leader has no reliable clock at present")
	default:
		s.printNote("%d changes held; the leader's clock: %s", len(held.Held), held.Clock)
	}
	return exitOK, nil
}
