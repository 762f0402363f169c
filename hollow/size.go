package hollow

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"sloeturn/desired"
)

// ErrSize is returned for a size that cannot be parsed or whose desired state has faults.
var ErrSize = merry.Sentinel("hollow: invalid size")

// Size is the size of a fleet and of its load. RequestsPerSecond is the mean rate at each node and
// AnnounceIntervalMs the time between two announcements of a backend; its names on the command line are those
// of variables.
type Size struct {
	Nodes              int
	Backends           int
	Services           int
	Lanes              int
	Tenants            int
	Zones              int
	Regions            int
	ControlProcesses   int
	ChangesPerMinute   int
	RequestsPerSecond  int
	AnnounceIntervalMs int
}

// Sizes holds the sizes that a run can start from; SweepValues and LiveSweepValues hold the values that a sweep of a variable
// takes, in simulated and in live runs.
var (
	BaseSize    = Size{Nodes: 24, Backends: 120, Services: 10, Lanes: 40, Tenants: 20, Zones: 4, Regions: 1, ControlProcesses: 5, ChangesPerMinute: 12, RequestsPerSecond: 5, AnnounceIntervalMs: 2000}
	GrownSize   = Size{Nodes: 92, Backends: 453, Services: 10, Lanes: 60, Tenants: 40, Zones: 6, Regions: 1, ControlProcesses: 5, ChangesPerMinute: 6, RequestsPerSecond: 10, AnnounceIntervalMs: 2000}
	WholeSize   = Size{Nodes: 490, Backends: 6500, Services: 110, Lanes: 1400, Tenants: 1024, Zones: 10, Regions: 3, ControlProcesses: 5, ChangesPerMinute: 6, RequestsPerSecond: 88, AnnounceIntervalMs: 2000}
	Sizes       = map[string]Size{"base": BaseSize, "grown": GrownSize, "whole": WholeSize}
	SweepValues = map[string][]int{
		"nodes": {12, 24, 48, 96, 192}, "backends": {60, 120, 240, 480, 960}, "services": {5, 10, 20, 40}, "lanes": {40, 160, 640}, "tenants": {20, 200, 1000},
		"zones": {2, 4, 8}, "changes": {6, 24, 60}, "visits": {5, 20, 80}, "controls": {3, 5, 9}, "beat": {1000, 2000, 4000},
	}
	LiveSweepValues = map[string][]int{"nodes": {6, 12, 24, 48}, "backends": {60, 120, 240, 480}, "lanes": {40, 160, 640}, "services": {5, 10, 20, 40}, "beat": {1000, 2000, 4000}}
)

// variables maps the names on the command line to the fields.
func (s *Size) variables() map[string]*int {
	return map[string]*int{"nodes": &s.Nodes, "backends": &s.Backends, "services": &s.Services, "lanes": &s.Lanes, "tenants": &s.Tenants, "zones": &s.Zones, "regions": &s.Regions, "controls": &s.ControlProcesses, "changes": &s.ChangesPerMinute, "visits": &s.RequestsPerSecond, "beat": &s.AnnounceIntervalMs}
}

// With returns the size with one variable changed; an unknown name changes nothing.
func (s Size) With(name string, n int) Size {
	if variable := s.variables()[name]; variable != nil {
		*variable = n
	}
	return s
}

// Read returns the size changed by text, assignments name=number separated by commas or spaces.
func (s Size) Read(text string) (Size, error) {
	for _, assignment := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' }) {
		name, value, _ := strings.Cut(assignment, "=")
		variable := s.variables()[name]
		n, err := strconv.Atoi(value)
		if variable == nil || err != nil || n < 0 {
			return s, merry.Wrap(ErrSize, merry.AppendMessagef("%q is not of the form name=number with a name of %s", assignment, strings.Join(sortedNames(s.variables()), " ")))
		}
		*variable = n
	}
	if s.Nodes < 1 || s.ControlProcesses < 3 || s.Zones < 1 || s.Regions < 1 || s.Services < 1 || s.Lanes < 1 || s.Tenants < 1 || s.AnnounceIntervalMs < 100 {
		return s, merry.Wrap(ErrSize, merry.AppendMessage("controls must be at least 3, beat at least 100 ms, and nodes, zones, regions, services, lanes and tenants at least 1"))
	}
	return s, nil
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s Size) String() string {
	return fmt.Sprintf("nodes=%d backends=%d services=%d lanes=%d tenants=%d zones=%d regions=%d controls=%d changes=%d visits=%d beat=%d",
		s.Nodes, s.Backends, s.Services, s.Lanes, s.Tenants, s.Zones, s.Regions, s.ControlProcesses, s.ChangesPerMinute, s.RequestsPerSecond, s.AnnounceIntervalMs)
}

func (s Size) zone(i int) string    { return fmt.Sprintf("zone-%d", i%s.Zones) }
func (s Size) region(i int) int     { return i % s.Zones % s.Regions }
func (s Size) service(i int) string { return fmt.Sprintf("service-%d", i%s.Services) }
func (s Size) tenant(i int) string  { return fmt.Sprintf("tenant-%d", i%s.Tenants) }
func (s Size) lane(i int) string    { return fmt.Sprintf("lane-%d", i%s.Lanes) }

// PeakConnections is the number of connections that the ledger requires each backend of service i to accept: at
// each node one, and one more for each lane of the service.
func (s Size) PeakConnections(i int) int {
	return s.maxNodes() * (1 + (s.Lanes-i%s.Services+s.Services-1)/s.Services)
}

// maxNodes counts one surge and one retiring node besides Nodes, as DesiredState does.
func (s Size) maxNodes() int { return s.Nodes + 2 }

// DesiredState returns a desired state of this size as JSON.
func (s Size) DesiredState() []byte {
	services, tenants, lanes := map[string]any{}, map[string]any{}, map[string]any{}
	for i := 0; i < s.Services; i++ {
		services[s.service(i)] = map[string]any{"maxConnections": s.PeakConnections(i), "furtherShots": 20}
	}
	for i := 0; i < s.Tenants; i++ {
		tenants[s.tenant(i)] = map[string]any{}
	}
	for i := 0; i < s.Lanes; i++ {
		lanes[s.lane(i)] = map[string]any{"tenant": s.tenant(i), "service": s.service(i), "slots": 1}
	}
	doc, _ := json.Marshal(map[string]any{"fleet": map[string]any{"nodes": s.Nodes, "surge": 1, "retiring": 1}, "services": services, "tenants": tenants, "lanes": lanes})
	return doc
}

// Faults returns the faults that validation finds in the desired state.
func (s Size) Faults() []desired.Fault {
	_, faults := desired.Read(s.DesiredState())
	return faults
}
