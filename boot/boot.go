// Package boot reads and validates a process's settings, from flags and a file, and opens its log.
package boot

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"runtime/debug"
	"sort"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log/level"

	"sloeturn/desired"
	"sloeturn/ident"
)

// Build is the version of the programs.
var Build = "0.2.0"

const (
	// MaxDecisions bounds the number of recent decisions that a process keeps for operators to read.
	MaxDecisions = 1 << 20
	minMemoryMB  = 16
	maxMemoryMB  = 1 << 20

	defaultLeaseMs = 5000
	// unset marks a setting that neither the file nor a flag contains.
	unset = -1

	minVoterReplaceMs = 500
	maxVoterReplaceMs = 3600000
)

// ErrInvalidSettings stands for settings that have faults.
var ErrInvalidSettings = merry.Sentinel("boot: settings are not sound")

// Flags are the command line flags of every process. A zero value leaves the setting as it is.
type Flags struct {
	Boot      string   `arg:"--boot" help:"path of the settings file, JSON; flags override it"`
	Name      string   `arg:"--name" help:"name of this member"`
	Cell      string   `arg:"--cell" help:"cell that this machine belongs to"`
	Address   string   `arg:"--address" help:"ip:port at which the other members reach this one"`
	HTTP      string   `arg:"--http" help:"ip:port for clients and backends"`
	Operators string   `arg:"--operators" help:"ip:port of the operators' interface"`
	Metrics   string   `arg:"--metrics" help:"ip:port that serves this process's metrics at /metrics and nothing else; without it only the operators' interface serves them"`
	Seeds     []string `arg:"--seeds" help:"addresses of other members"`
	LogLevel  string   `arg:"--log-level" help:"debug, info, warn or error"`
	DrainMs   int      `arg:"--drain-ms" help:"longest time in milliseconds that a planned stop may take"`
	LeaseMs   int      `arg:"--lease-ms" help:"longest time in milliseconds that a node may serve by a desired state that was replaced; a change is acknowledged after it at the latest"`
	TenureMs  int      `arg:"--tenure-ms" help:"former name of --lease-ms"`
	Decisions int      `arg:"--decisions" help:"number of recent decisions kept for operators to read"`
	MemoryMB  int      `arg:"--memory-mb" help:"soft limit of this process's memory in megabytes; 0: none"`
	Growth    int      `arg:"--growth" help:"growth of the heap, in per cent of what is live, at which a garbage collection starts"`
	Limits
	StaleMs int `arg:"--stale-ms" help:"how long, in milliseconds, a node without contact serves on the last update that it has; 0: as long as the lease"`
}

// ControlFlags are the further flags of control processes.
type ControlFlags struct {
	Data       string   `arg:"--data" help:"data folder; without it this process keeps no log"`
	Founders   []string `arg:"--founders" help:"addresses of the control processes with a data folder that form the fleet"`
	RingFiles  int      `arg:"--ring-files" help:"number of files in the on-disk log ring"`
	RingFileMB int      `arg:"--ring-file-mb" help:"size in megabytes of each file in the log ring"`
	Losses     int      `arg:"--losses" help:"control processes with a data folder that may fail at once; twice as many and one are voters"`
	Joins      bool     `arg:"--joins" help:"join a running fleet; never form one"`

	FreshFleet bool `arg:"--fresh-fleet" help:"the whole fleet starts for the first time, with empty disks: a majority of the founders may form it"`

	VoterReplaceMs int `arg:"--voter-replace-ms" help:"how long, in milliseconds, a voter must be silent before a learner that has caught up replaces it"`

	ClockFromMs int64 `arg:"--clock-from-ms" help:"for trials of a calendar only: Unix milliseconds from which its clock runs faster"`
	ClockScale  int64 `arg:"--clock-scale" help:"for trials of a calendar only: how many times faster; the same everywhere"`
}

// Settings are the settings of a process, in the form of the settings file.
type Settings struct {
	Name      string   `json:"name"`
	Cell      string   `json:"cell"`
	Address   string   `json:"address"`
	HTTP      string   `json:"http"`
	Operators string   `json:"operators"`
	Metrics   string   `json:"metrics,omitempty"`
	Seeds     []string `json:"seeds"`
	LogLevel  string   `json:"logLevel"`
	DrainMs   int      `json:"drainMs"`
	LeaseMs   int      `json:"leaseMs"`
	TenureMs  int      `json:"tenureMs,omitempty"`
	StaleMs   int      `json:"staleMs"`
	Decisions int      `json:"decisions"`
	MemoryMB  int      `json:"memoryMB,omitempty"`
	Limits
	Growth     int      `json:"growth"`
	Data       string   `json:"data,omitempty"`
	Founders   []string `json:"founders,omitempty"`
	RingFiles  int      `json:"ringFiles,omitempty"`
	RingFileMB int      `json:"ringFileMB,omitempty"`
	Losses     int      `json:"losses,omitempty"`
	Joins      bool     `json:"joins,omitempty"`

	FreshFleet bool `json:"freshFleet,omitempty"`

	VoterReplaceMs int `json:"voterReplaceMs,omitempty"`

	ClockFromMs int64 `json:"clockFromMs,omitempty"`
	ClockScale  int64 `json:"clockScale,omitempty"`
}

// maxClockScale bounds how many times faster than real time the calendar's clock may run.
const maxClockScale = 100000

// WallClock returns the time by which blackout periods begin and end: the wall clock, sped up if the
// settings say so for a trial.
func (s *Settings) WallClock() time.Time {
	now := time.Now()
	if s.ClockScale == 0 {
		return now
	}
	return time.UnixMilli(s.ClockFromMs + s.ClockScale*(now.UnixMilli()-s.ClockFromMs))
}

// DrainTimeout returns the longest time that a planned stop may take.
func (s *Settings) DrainTimeout() time.Duration { return time.Duration(s.DrainMs) * time.Millisecond }

// LeaseDuration returns the longest time that a node may serve by a configuration that was replaced.
func (s *Settings) LeaseDuration() time.Duration { return time.Duration(s.LeaseMs) * time.Millisecond }

// MaxStaleness returns how long a node without contact serves on its last update; 0: as long as its lease.
func (s *Settings) MaxStaleness() time.Duration { return time.Duration(s.StaleMs) * time.Millisecond }

// VoterReplaceDelay returns how long a voter must be silent before a learner replaces it.
func (s *Settings) VoterReplaceDelay() time.Duration {
	return time.Duration(s.VoterReplaceMs) * time.Millisecond
}

// ApplyMemoryLimits sets the growth of the heap and the soft limit of the runtime's memory. A quarter of
// the memory is left for what the runtime doesn't count.
func (s *Settings) ApplyMemoryLimits() {
	debug.SetGCPercent(s.Growth)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * 3 / 4)
	}
}

// Addrs converts addresses to their type.
func Addrs(list []string) []ident.Addr {
	var addrs []ident.Addr
	for _, address := range list {
		addrs = append(addrs, ident.Addr(address))
	}
	return addrs
}

// override sets a setting to the value of a flag that was given.
func override(target *string, value string) {
	if value != "" {
		*target = value
	}
}

// Read reads the settings file that the flags name, overrides it by the flags and validates the result.
// Only control processes have controlFlags.
func Read(flags Flags, controlFlags *ControlFlags) (*Settings, []desired.Fault) {
	settings := &Settings{LogLevel: "info", DrainMs: 30000, LeaseMs: unset, TenureMs: unset, Decisions: 16384, Growth: 100}
	var faults []desired.Fault
	addFault := func(path, format string, args ...any) {
		faults = append(faults, desired.Fault{Path: path, Text: fmt.Sprintf(format, args...)})
	}
	if controlFlags != nil {
		settings.RingFiles, settings.RingFileMB, settings.Losses, settings.VoterReplaceMs = 8, 4, 1, 10000
	}
	if flags.Boot != "" {
		content, err := os.ReadFile(flags.Boot)
		if err != nil {
			addFault("boot", "file does not open: %v", err)
		} else if _, fileFaults := desired.ReadTree(content); len(fileFaults) > 0 {
			faults = append(faults, fileFaults...)
		} else {
			decoder := json.NewDecoder(strings.NewReader(string(content)))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(settings); err != nil && err != io.EOF {
				addFault("boot", "file does not read: %v", err)
			}
		}
	}
	override(&settings.Name, flags.Name)
	override(&settings.Cell, flags.Cell)
	override(&settings.Address, flags.Address)
	override(&settings.HTTP, flags.HTTP)
	override(&settings.Operators, flags.Operators)
	override(&settings.Metrics, flags.Metrics)
	override(&settings.LogLevel, flags.LogLevel)
	if len(flags.Seeds) > 0 {
		settings.Seeds = flags.Seeds
	}
	if flags.DrainMs != 0 {
		settings.DrainMs = flags.DrainMs
	}
	if flags.LeaseMs != 0 {
		settings.LeaseMs = flags.LeaseMs
	}
	if flags.TenureMs != 0 {
		settings.TenureMs = flags.TenureMs
	}
	faults = append(faults, settings.applyFormerNames()...)
	if flags.StaleMs != 0 {
		settings.StaleMs = flags.StaleMs
	}
	if flags.MemoryMB != 0 {
		settings.MemoryMB = flags.MemoryMB
	}
	if flags.Growth != 0 {
		settings.Growth = flags.Growth
	}
	settings.Limits.override(flags.Limits)
	if flags.Decisions != 0 {
		settings.Decisions = flags.Decisions
	}
	if controlFlags != nil {
		override(&settings.Data, controlFlags.Data)
		if len(controlFlags.Founders) > 0 {
			settings.Founders = controlFlags.Founders
		}
		if controlFlags.RingFiles != 0 {
			settings.RingFiles = controlFlags.RingFiles
		}
		if controlFlags.RingFileMB != 0 {
			settings.RingFileMB = controlFlags.RingFileMB
		}
		if controlFlags.Losses != 0 {
			settings.Losses = controlFlags.Losses
		}
		if controlFlags.VoterReplaceMs != 0 {
			settings.VoterReplaceMs = controlFlags.VoterReplaceMs
		}
		settings.Joins, settings.FreshFleet = settings.Joins || controlFlags.Joins, settings.FreshFleet || controlFlags.FreshFleet
		if controlFlags.ClockFromMs != 0 {
			settings.ClockFromMs = controlFlags.ClockFromMs
		}
		if controlFlags.ClockScale != 0 {
			settings.ClockScale = controlFlags.ClockScale
		}
	}
	faults = append(faults, settings.validate(controlFlags)...)
	return settings, faults
}

// applyFormerNames accepts settings under the names that earlier versions gave them.
func (s *Settings) applyFormerNames() (faults []desired.Fault) {
	if s.TenureMs != unset && s.LeaseMs != unset && s.LeaseMs != s.TenureMs {
		faults = append(faults, desired.Fault{Path: "tenureMs", Text: fmt.Sprintf("is the former name of leaseMs, which says %d; is %d", s.LeaseMs, s.TenureMs)})
	}
	if s.LeaseMs == unset {
		s.LeaseMs = s.TenureMs
	}
	if s.TenureMs = 0; s.LeaseMs == unset {
		s.LeaseMs = defaultLeaseMs
	}
	return faults
}

// validate reports the faults of the settings. Without controlFlags they are those of a data process.
func (s *Settings) validate(controlFlags *ControlFlags) []desired.Fault {
	var faults []desired.Fault
	addFault := func(path, format string, args ...any) {
		faults = append(faults, desired.Fault{Path: path, Text: fmt.Sprintf(format, args...)})
	}
	if !desired.ValidName(s.Name) {
		addFault("name", "must be 1 to 64 of a-z, 0-9, '-', starting with a letter; is %q", s.Name)
	}
	if !desired.ValidName(s.Cell) {
		addFault("cell", "must be 1 to 64 of a-z, 0-9, '-', starting with a letter; is %q", s.Cell)
	}
	checkAddress := func(path, value string) {
		if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 || !a.Addr().IsValid() || a.Addr().IsUnspecified() && path != "http" && path != "operators" {
			addFault(path, "must be ip:port by number; is %q", value)
		}
	}
	checkAddress("address", s.Address)
	checkAddress("http", s.HTTP)
	checkAddress("operators", s.Operators)
	if s.Operators == s.HTTP || s.Operators == s.Address || s.HTTP == s.Address {
		addFault("operators", "address, http and operators must differ")
	}
	if s.Metrics != "" {
		checkAddress("metrics", s.Metrics)
		if s.Metrics == s.Operators || s.Metrics == s.HTTP || s.Metrics == s.Address {
			addFault("metrics", "must differ from address, http and operators; is %q", s.Metrics)
		}
	}
	for i, a := range s.Seeds {
		checkAddress(fmt.Sprintf("seeds/%d", i), a)
	}
	if len(s.Seeds) == 0 {
		addFault("seeds", "is missing; name up to three other members")
	}
	for i, a := range s.Founders {
		checkAddress(fmt.Sprintf("founders/%d", i), a)
	}
	if n := len(s.Founders); controlFlags != nil && s.Data != "" && !s.Joins && n != 1 && n != 3 {
		addFault("founders", "must be one or three addresses, or none with joins; holds %d", n)
	}
	sort.Strings(s.Founders)
	for i := 1; i < len(s.Founders); i++ {
		if s.Founders[i] == s.Founders[i-1] {
			addFault("founders", "names %s twice", s.Founders[i])
		}
	}
	if levelOption(s.LogLevel) == nil {
		addFault("logLevel", "must be debug, info, warn or error; is %q", s.LogLevel)
	}
	if s.DrainMs < 0 || s.DrainMs > 3600000 {
		addFault("drainMs", "must be from 0 to 3600000; is %d", s.DrainMs)
	}
	if s.LeaseMs < 500 || s.LeaseMs > 60000 {
		addFault("leaseMs", "must be from 500 to 60000; is %d", s.LeaseMs)
	}
	if s.StaleMs != 0 && (s.StaleMs < s.LeaseMs || s.StaleMs > 3600000) {
		addFault("staleMs", "must be 0, or from leaseMs, %d, to 3600000; is %d", s.LeaseMs, s.StaleMs)
	}
	if s.Decisions < 1 || s.Decisions > MaxDecisions {
		addFault("decisions", "must be from 1 to %d; is %d", MaxDecisions, s.Decisions)
	}
	if s.MemoryMB != 0 && (s.MemoryMB < minMemoryMB || s.MemoryMB > maxMemoryMB) {
		addFault("memoryMB", "must be 0, or from %d to %d; is %d", minMemoryMB, maxMemoryMB, s.MemoryMB)
	}
	s.Limits.validate(s.MemoryMB, addFault)
	if s.Growth < 10 || s.Growth > 1000 {
		addFault("growth", "must be from 10 to 1000; is %d", s.Growth)
	}
	if controlFlags != nil && (s.Losses < 1 || s.Losses > 4) {
		addFault("losses", "must be from 1 to 4; is %d", s.Losses)
	}
	if controlFlags != nil && (s.VoterReplaceMs < minVoterReplaceMs || s.VoterReplaceMs > maxVoterReplaceMs) {
		addFault("voterReplaceMs", "must be from %d to %d; is %d", minVoterReplaceMs, maxVoterReplaceMs, s.VoterReplaceMs)
	}
	if controlFlags == nil && (s.ClockFromMs != 0 || s.ClockScale != 0) {
		addFault("clockScale", "is for control processes")
	} else if (s.ClockFromMs != 0) != (s.ClockScale != 0) || s.ClockFromMs < 0 || s.ClockScale < 0 || s.ClockScale > maxClockScale {
		addFault("clockScale", "must be from 1 to %d, with clockFromMs, or both left out; is %d from %d", maxClockScale, s.ClockScale, s.ClockFromMs)
	}
	if s.Joins && len(s.Founders) > 0 {
		addFault("joins", "names no founders; holds %d", len(s.Founders))
	}
	if s.FreshFleet && (controlFlags == nil || s.Joins || s.Data == "") {
		addFault("freshFleet", "is for control processes with a data folder, and not with joins")
	}
	if controlFlags != nil && (s.RingFiles < 3 || s.RingFiles > 256) {
		addFault("ringFiles", "must be from 3 to 256; is %d", s.RingFiles)
	}
	if controlFlags != nil && (s.RingFileMB < 1 || s.RingFileMB > 1024) {
		addFault("ringFileMB", "must be from 1 to 1024; is %d", s.RingFileMB)
	}
	return faults
}

// Validate reports the faults of settings that were not read by Read. The control argument tells
// control processes from data processes.
func (s *Settings) Validate(control bool) []desired.Fault {
	if control {
		return s.validate(&ControlFlags{})
	}
	return s.validate(nil)
}

// Reload reads the settings again and applies those that may change while the process runs.
func (s *Settings) Reload(flags Flags, controlFlags *ControlFlags) (changed, needRestart []string, faults []desired.Fault) {
	next, faults := Read(flags, controlFlags)
	return s.Apply(next, faults)
}

// Apply takes over the settings that may change while the process runs, and returns the names of these
// and of the changed ones that need a restart. Faults leave everything as it is.
func (s *Settings) Apply(next *Settings, faults []desired.Fault) (changed, needRestart []string, invalid []desired.Fault) {
	if len(faults) > 0 {
		return nil, nil, faults
	}
	if next.LogLevel != s.LogLevel {
		changed = append(changed, "logLevel")
		s.LogLevel = next.LogLevel
	}
	if next.DrainMs != s.DrainMs {
		changed = append(changed, "drainMs")
		s.DrainMs = next.DrainMs
	}
	for _, setting := range []struct{ name, old, new string }{
		{"name", s.Name, next.Name}, {"cell", s.Cell, next.Cell}, {"address", s.Address, next.Address}, {"http", s.HTTP, next.HTTP},
		{"operators", s.Operators, next.Operators}, {"metrics", s.Metrics, next.Metrics}, {"data", s.Data, next.Data}, {"seeds", strings.Join(s.Seeds, ","), strings.Join(next.Seeds, ",")},
		{"founders", strings.Join(s.Founders, ","), strings.Join(next.Founders, ",")},
		{"leaseMs", fmt.Sprint(s.LeaseMs), fmt.Sprint(next.LeaseMs)}, {"staleMs", fmt.Sprint(s.StaleMs), fmt.Sprint(next.StaleMs)},
		{"decisions", fmt.Sprint(s.Decisions), fmt.Sprint(next.Decisions)},
		{"memoryMB", fmt.Sprint(s.MemoryMB), fmt.Sprint(next.MemoryMB)}, {"growth", fmt.Sprint(s.Growth), fmt.Sprint(next.Growth)},
		{"descriptors, clientMemoryMB, clientConnections, clientWriteMs", fmt.Sprint(s.Limits), fmt.Sprint(next.Limits)},
		{"losses", fmt.Sprint(s.Losses), fmt.Sprint(next.Losses)}, {"voterReplaceMs", fmt.Sprint(s.VoterReplaceMs), fmt.Sprint(next.VoterReplaceMs)}, {"joins", fmt.Sprint(s.Joins), fmt.Sprint(next.Joins)},
		{"freshFleet", fmt.Sprint(s.FreshFleet), fmt.Sprint(next.FreshFleet)},
		{"clockFromMs", fmt.Sprint(s.ClockFromMs), fmt.Sprint(next.ClockFromMs)}, {"clockScale", fmt.Sprint(s.ClockScale), fmt.Sprint(next.ClockScale)},
		{"ringFiles", fmt.Sprint(s.RingFiles), fmt.Sprint(next.RingFiles)}, {"ringFileMB", fmt.Sprint(s.RingFileMB), fmt.Sprint(next.RingFileMB)},
	} {
		if setting.old != setting.new {
			needRestart = append(needRestart, setting.name)
		}
	}
	return changed, needRestart, nil
}

// ApplyAndLog applies settings that were read again, logs what changed and sets the level of the log.
func (s *Settings) ApplyAndLog(next *Settings, nextFaults []desired.Fault, logger *Logger) {
	changed, needRestart, faults := s.Apply(next, nextFaults)
	for _, fault := range faults {
		level.Error(logger).Log("part", "boot", "msg", "Setting is not sound; nothing changed.", "path", fault.Path, "why", fault.Text)
	}
	logger.SetLevel(s.LogLevel)
	level.Info(logger).Log("part", "boot", "msg", "Reloaded.", "changed", strings.Join(changed, ","), "needs a restart", strings.Join(needRestart, ","))
}

// ErrorChain returns the messages of an error and its causes, without those that the message before
// ends with.
func ErrorChain(err error) string {
	var chain strings.Builder
	last := ""
	for current := err; current != nil; {
		if message := current.Error(); message != last && !strings.HasSuffix(last, message) {
			if chain.Len() > 0 {
				chain.WriteString(": ")
			}
			chain.WriteString(message)
			last = message
		}
		if cause := merry.Cause(current); cause != nil && cause != current {
			current = cause
			continue
		}
		current = errors.Unwrap(current)
	}
	return chain.String()
}
