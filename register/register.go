// Package register checks histories of operators' calls for linearizability against a configuration
// register.
package register

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Kind is the kind of a call.
type Kind uint8

const (
	Read Kind = iota
	Replace
	Modify
)

// Outcome is what the operator learned of the result of a call.
type Outcome uint8

const (
	Unknown Outcome = iota
	Done
	Rejected
)

// Value is the content of a configuration: its version and two settings. A replace sets both, a modify
// the first.
type Value struct{ Version, First, Second uint64 }

// Call is one call of an operator, from its first transmission to its last answer on one clock. A call
// with an unknown outcome may take effect at any time after Start, or never. Observed is what a read
// returned, or the version that an acknowledgement named (0 for none).
type Call struct {
	Operator    int
	Kind        Kind
	ID          string
	BaseVersion uint64
	Value       Value
	Start, End  time.Duration
	Outcome     Outcome
	Observed    Value
}

func (c Call) String() string {
	text := [...]string{"read", "replace", "modify"}[c.Kind]
	if c.Kind != Read {
		text += fmt.Sprintf(" %s on %d to %v", c.ID, c.BaseVersion, c.Value)
	}
	return fmt.Sprintf("%.3f-%.3f operator %d: %s: %s %v", c.Start.Seconds(), c.End.Seconds(), c.Operator, text, [...]string{"unclear", "done", "refused"}[c.Outcome], c.Observed)
}

// registerState is a value and the IDs of the changes that were applied.
type registerState struct {
	Value
	applied string
}

func (s registerState) isApplied(id string) bool { return strings.Contains(s.applied, " "+id+" ") }

func (s registerState) apply(c Call) registerState {
	n := registerState{c.Value, s.applied + " " + c.ID + " "}
	if c.Kind == Modify {
		n.Second = s.Second
	}
	return n
}

// step is the sequential specification: a change is applied once, to the version that it names. A change
// that was applied is acknowledged whenever it is sent again, and never rejected.
func step(s registerState, c Call) (bool, registerState) {
	known, matches := s.isApplied(c.ID), c.BaseVersion == s.Version && c.Value.Version > s.Version
	switch {
	case c.Kind == Read:
		return c.Outcome != Done || c.Observed == s.Value, s
	case c.Outcome == Unknown && (known || !matches):
		return true, s
	case c.Outcome == Unknown:
		return true, s.apply(c)
	case c.Outcome == Rejected:
		return !known && c.BaseVersion != s.Version, s
	case c.Observed.Version != 0 && c.Observed.Version != c.Value.Version:
		return false, s
	case known:
		return true, s
	}
	return matches, s.apply(c)
}

var model = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(s, in, _ any) (bool, any) {
		ok, n := step(s.(registerState), in.(Call))
		return ok, n
	},
	DescribeOperation: func(in, _ any) string { return in.(Call).String() },
}

// Verdict is the result of checking a history.
type Verdict uint8

const (
	Linearizable Verdict = iota
	NotLinearizable
	Undecided
)

// Check tells whether the calls are linearizable: whether some order of them, each taking effect at one
// moment between its start and its end, is one of the register. It returns Undecided if the search took
// longer than timeout. The text names the calls around the first one that doesn't fit.
func Check(calls []Call, timeout time.Duration) (Verdict, string) {
	return check(pruneUnknown(calls), timeout)
}

func check(calls []Call, timeout time.Duration) (Verdict, string) {
	var operations []porcupine.Operation
	for _, c := range calls {
		operation := porcupine.Operation{ClientId: c.Operator, Input: c, Call: int64(c.Start), Return: int64(c.End)}
		operations = append(operations, operation)
	}
	result, info := porcupine.CheckOperationsVerbose(model, operations, timeout)
	switch result {
	case porcupine.Ok:
		return Linearizable, ""
	case porcupine.Unknown:
		return Undecided, fmt.Sprintf("%d calls", len(operations))
	}
	return NotLinearizable, explain(operations, info)
}

const endOfTime = time.Duration(math.MaxInt64)

// pruneUnknown narrows calls with an unknown outcome by the known outcomes of the same change; without that
// the search would not end. Once a change is acknowledged, sending it again has no effect; a change
// that was finally rejected never takes effect.
func pruneUnknown(calls []Call) (out []Call) {
	acknowledged, rejected := map[string]time.Duration{}, map[string]bool{}
	for _, c := range calls {
		if c.Kind != Read && c.Outcome == Rejected {
			rejected[c.ID] = true
		}
		if t, ok := acknowledged[c.ID]; c.Kind != Read && c.Outcome == Done && (!ok || c.End < t) {
			acknowledged[c.ID] = c.End
		}
	}
	for _, c := range calls {
		if c.Outcome == Unknown {
			t, ok := acknowledged[c.ID]
			if c.Kind == Read || rejected[c.ID] && !ok || ok && c.Start > t {
				continue
			}
			if c.End = endOfTime; ok {
				c.End = t
			}
		}
		out = append(out, c)
	}
	return out
}

// explain describes the longest linearization that was found and the first calls that don't fit it.
func explain(operations []porcupine.Operation, info porcupine.LinearizationInfo) string {
	longest := []int{}
	for _, part := range info.PartialLinearizations() {
		for _, p := range part {
			if len(p) > len(longest) {
				longest = p
			}
		}
	}
	s := registerState{}
	for _, i := range longest {
		_, s = step(s, operations[i].Input.(Call))
	}
	var rest []Call
	for i, o := range operations {
		if c := o.Input.(Call); !slices.Contains(longest, i) && c.Outcome != Unknown {
			rest = append(rest, c)
		}
	}
	slices.SortFunc(rest, func(a, b Call) int { return cmp.Compare(a.End, b.End) })
	return fmt.Sprintf("%d of %d calls fit, leaving the register at %v; the next ones are %v", len(longest), len(operations), s.Value, rest[:min(3, len(rest))])
}
