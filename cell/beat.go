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

var Events = map[string]int{"beat": Ready, "drain": Leaving, "sign-off": Gone}

func ReadBeat(body []byte, kind int, more ...string) (*wire.Announce, []desired.Fault) {
	tree, faults := desired.ReadTree(body)
	if len(faults) > 0 {
		return nil, faults
	}
	say := func(path, form string, args ...any) {
		faults = append(faults, desired.Fault{Path: path, Text: fmt.Sprintf(form, args...)})
	}
	m, ok := tree.(map[string]any)
	if !ok {
		return nil, []desired.Fault{{Path: "", Text: "must be an object"}}
	}
	known := map[string]bool{}
	for _, k := range more {
		known[k] = true
	}
	text := func(key string, must bool) string {
		known[key] = true
		v, ok := m[key]
		if !ok {
			if must {
				say("/"+key, "is missing")
			}
			return ""
		}
		s, ok := v.(string)
		if !ok || len(s) > 128 {
			say("/"+key, "must be a text of at most 128 bytes")
		}
		return s
	}
	whole := func(key string, most int64, must bool) int64 {
		known[key] = true
		v, ok := m[key]
		if !ok {
			if must {
				say("/"+key, "is missing")
			}
			return 0
		}
		n, ok := v.(json.Number)
		if !ok {
			say("/"+key, "must be a whole number")
			return 0
		}
		i, err := n.Int64()
		if err != nil || i < 0 || i > most {
			say("/"+key, "must be a whole number from 0 to %d", most)
		}
		return i
	}
	a := &wire.Announce{State: uint32(kind), Notice: kind == Leaving}
	a.Service = text("service", true)
	a.Addr = text("address", true)
	a.Cell = text("cell", false)
	a.Incarnation = text("incarnation", false)
	a.Turn = uint64(whole("turn", 1<<53-1, false))
	if a.Addr != "" {
		if _, err := netip.ParseAddrPort(a.Addr); err != nil {
			say("/address", "must be ip:port by number")
		}
	}
	if a.Service != "" && !desired.NameOK(a.Service) {
		say("/service", "is not a name")
	}
	if a.Cell != "" && !desired.NameOK(a.Cell) {
		say("/cell", "is not a name")
	}
	for _, k := range []string{"slotCount", "coldLeftMs", "state"} {
		known[k] = true
	}
	if kind == Ready {
		a.Slots = uint32(whole("slotCount", SlotLimit, true))
		a.ColdNs = whole("coldLeftMs", 3600000, false) * 1000000
		switch s := text("state", false); s {
		case "", "ready":
		case "leaving":
			a.State = Leaving
		default:
			say("/state", "must be ready or leaving; is %q", s)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if !known[k] {
			say("/"+k, "is not known here")
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return a, nil
}
