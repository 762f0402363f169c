package cell

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"sloeturn/desired"
	"sloeturn/wire"
)

// AnnounceStates maps the name of a backend event, as in its request path, to the state it announces.
var AnnounceStates = map[string]int{"beat": Ready, "drain": Leaving, "sign-off": Gone}

// ParseAnnounce reads the JSON body of a backend's announcement of the given state. Fields named in
// more are accepted and ignored. It returns every fault that it finds, or the announcement if there is none.
func ParseAnnounce(body []byte, kind int, more ...string) (*wire.Announce, []desired.Fault) {
	tree, faults := desired.ReadTree(body)
	if len(faults) > 0 {
		return nil, faults
	}
	addFault := func(path, format string, args ...any) {
		faults = append(faults, desired.Fault{Path: path, Text: fmt.Sprintf(format, args...)})
	}
	fields, ok := tree.(map[string]any)
	if !ok {
		return nil, []desired.Fault{{Path: "", Text: "must be an object"}}
	}
	known := map[string]bool{}
	for _, k := range more {
		known[k] = true
	}
	text := func(key string, required bool) string {
		known[key] = true
		value, ok := fields[key]
		if !ok {
			if required {
				addFault("/"+key, "is missing")
			}
			return ""
		}
		s, ok := value.(string)
		if !ok || len(s) > 128 {
			addFault("/"+key, "must be a text of at most 128 bytes")
		}
		return s
	}
	integer := func(key string, maximum int64, required bool) int64 {
		known[key] = true
		value, ok := fields[key]
		if !ok {
			if required {
				addFault("/"+key, "is missing")
			}
			return 0
		}
		n, ok := value.(json.Number)
		if !ok {
			addFault("/"+key, "must be a whole number")
			return 0
		}
		number, err := n.Int64()
		if err != nil || number < 0 || number > maximum {
			addFault("/"+key, "must be a whole number from 0 to %d", maximum)
		}
		return number
	}
	announce := &wire.Announce{State: uint32(kind), Notice: kind == Leaving}
	announce.Service = text("service", true)
	announce.Addr = text("address", true)
	announce.Cell = text("cell", false)
	announce.Incarnation = text("incarnation", false)
	announce.Turn = uint64(integer("turn", 1<<53-1, false))
	if announce.Addr != "" {
		if _, err := netip.ParseAddrPort(announce.Addr); err != nil {
			addFault("/address", "must be ip:port by number")
		}
	}
	if announce.Service != "" && !desired.ValidName(announce.Service) {
		addFault("/service", "is not a name")
	}
	if announce.Cell != "" && !desired.ValidName(announce.Cell) {
		addFault("/cell", "is not a name")
	}
	for _, k := range []string{"slotCount", "coldLeftMs", "state"} {
		known[k] = true
	}
	if kind == Ready {
		announce.Slots = uint32(integer("slotCount", MaxSlots, true))
		announce.ColdNs = integer("coldLeftMs", 3600000, false) * 1000000
		switch s := text("state", false); s {
		case "", "ready":
		case "leaving":
			announce.State = Leaving
		default:
			addFault("/state", "must be ready or leaving; is %q", s)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		if !known[k] {
			addFault("/"+k, "is not known here")
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return announce, nil
}
