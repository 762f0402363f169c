package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
)

// post sends a command to a process and prints its answer.
func (s *shell) post(addr, path string, value any) (int, error) {
	body, _ := json.Marshal(value)
	resp, err := httpClient.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return exitFailed, merry.Wrap(ErrQuery, merry.WithCause(err))
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	fmt.Fprint(s.out, string(answer))
	if resp.StatusCode >= 300 {
		return exitFailed, nil
	}
	return exitOK, nil
}

// freeSeat frees a seat, a node's numbered share of each backend's capacity. The operator must confirm
// that the holder has no connections left, as a new holder would otherwise exceed the backends' limits.
func freeSeat(s *shell, arguments []string) (int, error) {
	seat, err := singleArgument(arguments, "seat")
	if err != nil {
		return exitUsage, err
	}
	status, from, err := s.freshestStatus()
	if err != nil {
		return exitFailed, err
	}
	for _, entry := range objectsOf(status["seats"]) {
		if formatValue(entry["seat"]) != seat {
			continue
		}
		if !s.socketsGone {
			return exitUsage, merry.Errorf("seat %s is held by %s; confirm with --yes-its-sockets-are-gone that its machine is off", seat, formatValue(entry["member"]))
		}
		return s.post(from, "/seats/"+seat+"/free", map[string]any{"member": entry["member"], "incarnation": entry["incarnation"], "proof": "its sockets are gone"})
	}
	return exitFailed, merry.Errorf("no member holds seat %s", seat)
}

// memberAddr returns the operators' address of a member.
func (s *shell) memberAddr(name string) (string, error) {
	status, _, err := s.freshestStatus()
	if err != nil {
		return "", err
	}
	for _, record := range objectsOf(status["cards"]) {
		if record["id"] == name {
			return operatorsAddr(record), nil
		}
	}
	return "", merry.Errorf("unknown member %q", name)
}

func drainMember(s *shell, arguments []string) (int, error) {
	name, err := singleArgument(arguments, "member")
	if err != nil {
		return exitUsage, err
	}
	addr, err := s.memberAddr(name)
	if err != nil {
		return exitFailed, err
	}
	return s.post(addr, "/drain", nil)
}
