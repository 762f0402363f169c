// Package boot reads and checks a program's settings and opens its log.
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
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sloeturn/desired"
	"sloeturn/ident"
)

var Build = "0.2.0"

const (
	DecisionsMost = 1 << 20
	memoryLeast   = 16
	memoryMost    = 1 << 20

	leaseUsual = 5000
	unset      = -1

	voterReplaceLeast = 500
	voterReplaceMost  = 3600000
)

var ErrBoot = merry.Sentinel("boot: settings are not sound")

type Flags struct {
	Boot      string   `arg:"--boot" help:"boot file, JSON; flags go over it"`
	Name      string   `arg:"--name" help:"name of this member"`
	Cell      string   `arg:"--cell" help:"cell this machine stands in"`
	Address   string   `arg:"--address" help:"ip:port the other members reach this one at"`
	HTTP      string   `arg:"--http" help:"ip:port for requesters and backends"`
	Operators string   `arg:"--operators" help:"ip:port of the operators' interface"`
	Metrics   string   `arg:"--metrics" help:"ip:port where monitoring reads this process's figures at /metrics, and nothing else; without it only operators do"`
	Seeds     []string `arg:"--seeds" help:"addresses of other members"`
	LogLevel  string   `arg:"--log-level" help:"debug, info, warn or error"`
	DrainMs   int      `arg:"--drain-ms" help:"longest time a planned stop may take"`
	LeaseMs   int      `arg:"--lease-ms" help:"longest time a node may take a new desired state's place for an old one; a change is acknowledged after it at the latest"`
	TenureMs  int      `arg:"--tenure-ms" help:"the former name of --lease-ms"`
	Decisions int      `arg:"--decisions" help:"newest decisions kept for operators to read"`
	MemoryMB  int      `arg:"--memory-mb" help:"memory this process may use, kept to softly; 0: no bound"`
	Growth    int      `arg:"--growth" help:"per cent the heap may grow over what lives before it is swept"`
	StaleMs   int      `arg:"--stale-ms" help:"how long a node that is out of touch serves on the last news it has; 0: as long as the lease"`
}

type DiskFlags struct {
	Data     string   `arg:"--data" help:"data folder; without it this process keeps no log"`
	Founders []string `arg:"--founders" help:"addresses of the disk holders that form the fleet"`
	Files    int      `arg:"--ring-files" help:"files in the ring"`
	FileMB   int      `arg:"--ring-file-mb" help:"size of each file in the ring"`
	Losses   int      `arg:"--losses" help:"disk holders that may be lost at once; twice as many and one vote"`
	Joins    bool     `arg:"--joins" help:"join a fleet that stands; never form one"`

	FreshFleet bool `arg:"--fresh-fleet" help:"the whole fleet starts for the first time, with empty disks: a majority of the founders may form it"`

	VoterReplaceMs int `arg:"--voter-replace-ms" help:"how long a voter must be silent before a learner that has caught up takes its place"`

	ClockFromMs int64 `arg:"--clock-from-ms" help:"for trials of a calendar only: Unix milliseconds from which its clock runs faster"`
	ClockScale  int64 `arg:"--clock-scale" help:"for trials of a calendar only: how many times faster; the same everywhere"`
}

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
	Growth    int      `json:"growth"`
	Data      string   `json:"data,omitempty"`
	Founders  []string `json:"founders,omitempty"`
	Files     int      `json:"ringFiles,omitempty"`
	FileMB    int      `json:"ringFileMB,omitempty"`
	Losses    int      `json:"losses,omitempty"`
	Joins     bool     `json:"joins,omitempty"`

	FreshFleet bool `json:"freshFleet,omitempty"`

	VoterReplaceMs int `json:"voterReplaceMs,omitempty"`

	ClockFromMs int64 `json:"clockFromMs,omitempty"`
	ClockScale  int64 `json:"clockScale,omitempty"`
}

const clockScaleMost = 100000

// Wall is the calendar's clock: the wall clock, but for trials.
func (s *Settings) Wall() time.Time {
	now := time.Now()
	if s.ClockScale == 0 {
		return now
	}
	return time.UnixMilli(s.ClockFromMs + s.ClockScale*(now.UnixMilli()-s.ClockFromMs))
}

func (s *Settings) Drain() time.Duration    { return time.Duration(s.DrainMs) * time.Millisecond }
func (s *Settings) LeaseFor() time.Duration { return time.Duration(s.LeaseMs) * time.Millisecond }
func (s *Settings) Stale() time.Duration    { return time.Duration(s.StaleMs) * time.Millisecond }

func (s *Settings) VoterReplace() time.Duration {
	return time.Duration(s.VoterReplaceMs) * time.Millisecond
}

func (s *Settings) Bound() {
	debug.SetGCPercent(s.Growth)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * 3 / 4)
	}
}

func Addrs(list []string) []ident.Addr {
	var out []ident.Addr
	for _, a := range list {
		out = append(out, ident.Addr(a))
	}
	return out
}

func over(to *string, from string) {
	if from != "" {
		*to = from
	}
}

func Read(f Flags, d *DiskFlags) (*Settings, []desired.Fault) {
	s := &Settings{LogLevel: "info", DrainMs: 30000, LeaseMs: unset, TenureMs: unset, Decisions: 16384, Growth: 100}
	var faults []desired.Fault
	say := func(path, form string, args ...any) {
		faults = append(faults, desired.Fault{Path: path, Text: fmt.Sprintf(form, args...)})
	}
	if d != nil {
		s.Files, s.FileMB, s.Losses, s.VoterReplaceMs = 8, 4, 1, 10000
	}
	if f.Boot != "" {
		b, err := os.ReadFile(f.Boot)
		if err != nil {
			say("boot", "file does not open: %v", err)
		} else if _, bad := desired.ReadTree(b); len(bad) > 0 {
			faults = append(faults, bad...)
		} else {
			dec := json.NewDecoder(strings.NewReader(string(b)))
			dec.DisallowUnknownFields()
			if err := dec.Decode(s); err != nil && err != io.EOF {
				say("boot", "file does not read: %v", err)
			}
		}
	}
	over(&s.Name, f.Name)
	over(&s.Cell, f.Cell)
	over(&s.Address, f.Address)
	over(&s.HTTP, f.HTTP)
	over(&s.Operators, f.Operators)
	over(&s.Metrics, f.Metrics)
	over(&s.LogLevel, f.LogLevel)
	if len(f.Seeds) > 0 {
		s.Seeds = f.Seeds
	}
	if f.DrainMs != 0 {
		s.DrainMs = f.DrainMs
	}
	if f.LeaseMs != 0 {
		s.LeaseMs = f.LeaseMs
	}
	if f.TenureMs != 0 {
		s.TenureMs = f.TenureMs
	}
	faults = append(faults, s.formerNames()...)
	if f.StaleMs != 0 {
		s.StaleMs = f.StaleMs
	}
	if f.MemoryMB != 0 {
		s.MemoryMB = f.MemoryMB
	}
	if f.Growth != 0 {
		s.Growth = f.Growth
	}
	if f.Decisions != 0 {
		s.Decisions = f.Decisions
	}
	if d != nil {
		over(&s.Data, d.Data)
		if len(d.Founders) > 0 {
			s.Founders = d.Founders
		}
		if d.Files != 0 {
			s.Files = d.Files
		}
		if d.FileMB != 0 {
			s.FileMB = d.FileMB
		}
		if d.Losses != 0 {
			s.Losses = d.Losses
		}
		if d.VoterReplaceMs != 0 {
			s.VoterReplaceMs = d.VoterReplaceMs
		}
		s.Joins, s.FreshFleet = s.Joins || d.Joins, s.FreshFleet || d.FreshFleet
		if d.ClockFromMs != 0 {
			s.ClockFromMs = d.ClockFromMs
		}
		if d.ClockScale != 0 {
			s.ClockScale = d.ClockScale
		}
	}
	faults = append(faults, s.check(d)...)
	return s, faults
}

// formerNames takes up settings under the names that earlier versions gave them.
func (s *Settings) formerNames() (faults []desired.Fault) {
	if s.TenureMs != unset && s.LeaseMs != unset && s.LeaseMs != s.TenureMs {
		faults = append(faults, desired.Fault{Path: "tenureMs", Text: fmt.Sprintf("is the former name of leaseMs, which says %d; is %d", s.LeaseMs, s.TenureMs)})
	}
	if s.LeaseMs == unset {
		s.LeaseMs = s.TenureMs
	}
	if s.TenureMs = 0; s.LeaseMs == unset {
		s.LeaseMs = leaseUsual
	}
	return faults
}

func (s *Settings) check(d *DiskFlags) []desired.Fault {
	var faults []desired.Fault
	say := func(path, form string, args ...any) {
		faults = append(faults, desired.Fault{Path: path, Text: fmt.Sprintf(form, args...)})
	}
	if !desired.NameOK(s.Name) {
		say("name", "must be 1 to 64 of a-z, 0-9, '-', starting with a letter; is %q", s.Name)
	}
	if !desired.NameOK(s.Cell) {
		say("cell", "must be 1 to 64 of a-z, 0-9, '-', starting with a letter; is %q", s.Cell)
	}
	place := func(path, v string) {
		if a, err := netip.ParseAddrPort(v); err != nil || a.Port() == 0 || !a.Addr().IsValid() || a.Addr().IsUnspecified() && path != "http" && path != "operators" {
			say(path, "must be ip:port by number; is %q", v)
		}
	}
	place("address", s.Address)
	place("http", s.HTTP)
	place("operators", s.Operators)
	if s.Operators == s.HTTP || s.Operators == s.Address || s.HTTP == s.Address {
		say("operators", "address, http and operators must differ")
	}
	if s.Metrics != "" {
		place("metrics", s.Metrics)
		if s.Metrics == s.Operators || s.Metrics == s.HTTP || s.Metrics == s.Address {
			say("metrics", "must differ from address, http and operators; is %q", s.Metrics)
		}
	}
	for i, a := range s.Seeds {
		place(fmt.Sprintf("seeds/%d", i), a)
	}
	if len(s.Seeds) == 0 {
		say("seeds", "is missing; name up to three other members")
	}
	for i, a := range s.Founders {
		place(fmt.Sprintf("founders/%d", i), a)
	}
	if n := len(s.Founders); d != nil && s.Data != "" && !s.Joins && n != 1 && n != 3 {
		say("founders", "must be one or three addresses, or none with joins; holds %d", n)
	}
	sort.Strings(s.Founders)
	for i := 1; i < len(s.Founders); i++ {
		if s.Founders[i] == s.Founders[i-1] {
			say("founders", "names %s twice", s.Founders[i])
		}
	}
	if levelOf(s.LogLevel) == nil {
		say("logLevel", "must be debug, info, warn or error; is %q", s.LogLevel)
	}
	if s.DrainMs < 0 || s.DrainMs > 3600000 {
		say("drainMs", "must be from 0 to 3600000; is %d", s.DrainMs)
	}
	if s.LeaseMs < 500 || s.LeaseMs > 60000 {
		say("leaseMs", "must be from 500 to 60000; is %d", s.LeaseMs)
	}
	if s.StaleMs != 0 && (s.StaleMs < s.LeaseMs || s.StaleMs > 3600000) {
		say("staleMs", "must be 0, or from leaseMs, %d, to 3600000; is %d", s.LeaseMs, s.StaleMs)
	}
	if s.Decisions < 1 || s.Decisions > DecisionsMost {
		say("decisions", "must be from 1 to %d; is %d", DecisionsMost, s.Decisions)
	}
	if s.MemoryMB != 0 && (s.MemoryMB < memoryLeast || s.MemoryMB > memoryMost) {
		say("memoryMB", "must be 0, or from %d to %d; is %d", memoryLeast, memoryMost, s.MemoryMB)
	}
	if s.Growth < 10 || s.Growth > 1000 {
		say("growth", "must be from 10 to 1000; is %d", s.Growth)
	}
	if d != nil && (s.Losses < 1 || s.Losses > 4) {
		say("losses", "must be from 1 to 4; is %d", s.Losses)
	}
	if d != nil && (s.VoterReplaceMs < voterReplaceLeast || s.VoterReplaceMs > voterReplaceMost) {
		say("voterReplaceMs", "must be from %d to %d; is %d", voterReplaceLeast, voterReplaceMost, s.VoterReplaceMs)
	}
	if d == nil && (s.ClockFromMs != 0 || s.ClockScale != 0) {
		say("clockScale", "is for control processes")
	} else if (s.ClockFromMs != 0) != (s.ClockScale != 0) || s.ClockFromMs < 0 || s.ClockScale < 0 || s.ClockScale > clockScaleMost {
		say("clockScale", "must be from 1 to %d, with clockFromMs, or both left out; is %d from %d", clockScaleMost, s.ClockScale, s.ClockFromMs)
	}
	if s.Joins && len(s.Founders) > 0 {
		say("joins", "names no founders; holds %d", len(s.Founders))
	}
	if s.FreshFleet && (d == nil || s.Joins || s.Data == "") {
		say("freshFleet", "is for control processes with a data folder, and not with joins")
	}
	if d != nil && (s.Files < 3 || s.Files > 256) {
		say("ringFiles", "must be from 3 to 256; is %d", s.Files)
	}
	if d != nil && (s.FileMB < 1 || s.FileMB > 1024) {
		say("ringFileMB", "must be from 1 to 1024; is %d", s.FileMB)
	}
	return faults
}

func (s *Settings) Check(disk bool) []desired.Fault {
	if disk {
		return s.check(&DiskFlags{})
	}
	return s.check(nil)
}

func (s *Settings) Reload(f Flags, d *DiskFlags) (changed, fixed []string, faults []desired.Fault) {
	n, faults := Read(f, d)
	return s.Take(n, faults)
}

func (s *Settings) Take(n *Settings, faults []desired.Fault) (changed, fixed []string, bad []desired.Fault) {
	if len(faults) > 0 {
		return nil, nil, faults
	}
	if n.LogLevel != s.LogLevel {
		changed = append(changed, "logLevel")
		s.LogLevel = n.LogLevel
	}
	if n.DrainMs != s.DrainMs {
		changed = append(changed, "drainMs")
		s.DrainMs = n.DrainMs
	}
	for _, p := range []struct{ name, old, new string }{
		{"name", s.Name, n.Name}, {"cell", s.Cell, n.Cell}, {"address", s.Address, n.Address}, {"http", s.HTTP, n.HTTP},
		{"operators", s.Operators, n.Operators}, {"metrics", s.Metrics, n.Metrics}, {"data", s.Data, n.Data}, {"seeds", strings.Join(s.Seeds, ","), strings.Join(n.Seeds, ",")},
		{"founders", strings.Join(s.Founders, ","), strings.Join(n.Founders, ",")},
		{"leaseMs", fmt.Sprint(s.LeaseMs), fmt.Sprint(n.LeaseMs)}, {"staleMs", fmt.Sprint(s.StaleMs), fmt.Sprint(n.StaleMs)},
		{"decisions", fmt.Sprint(s.Decisions), fmt.Sprint(n.Decisions)},
		{"memoryMB", fmt.Sprint(s.MemoryMB), fmt.Sprint(n.MemoryMB)}, {"growth", fmt.Sprint(s.Growth), fmt.Sprint(n.Growth)},
		{"losses", fmt.Sprint(s.Losses), fmt.Sprint(n.Losses)}, {"voterReplaceMs", fmt.Sprint(s.VoterReplaceMs), fmt.Sprint(n.VoterReplaceMs)}, {"joins", fmt.Sprint(s.Joins), fmt.Sprint(n.Joins)},
		{"freshFleet", fmt.Sprint(s.FreshFleet), fmt.Sprint(n.FreshFleet)},
		{"clockFromMs", fmt.Sprint(s.ClockFromMs), fmt.Sprint(n.ClockFromMs)}, {"clockScale", fmt.Sprint(s.ClockScale), fmt.Sprint(n.ClockScale)},
		{"ringFiles", fmt.Sprint(s.Files), fmt.Sprint(n.Files)}, {"ringFileMB", fmt.Sprint(s.FileMB), fmt.Sprint(n.FileMB)},
	} {
		if p.old != p.new {
			fixed = append(fixed, p.name)
		}
	}
	return changed, fixed, nil
}

func (s *Settings) Reloaded(n *Settings, bad []desired.Fault, l *Logger) {
	changed, fixed, faults := s.Take(n, bad)
	for _, f := range faults {
		level.Error(l).Log("part", "boot", "msg", "Setting is not sound; nothing changed.", "path", f.Path, "why", f.Text)
	}
	l.SetLevel(s.LogLevel)
	level.Info(l).Log("part", "boot", "msg", "Reloaded.", "changed", strings.Join(changed, ","), "needs a restart", strings.Join(fixed, ","))
}

func levelOf(s string) level.Option {
	switch s {
	case "debug":
		return level.AllowDebug()
	case "info":
		return level.AllowInfo()
	case "warn":
		return level.AllowWarn()
	case "error":
		return level.AllowError()
	}
	return nil
}

type Logger struct {
	base log.Logger
	swap log.SwapLogger
}

func NewLogger(w io.Writer, lev, name string) *Logger {
	l := &Logger{base: log.With(log.NewLogfmtLogger(log.NewSyncWriter(w)), "ts", log.DefaultTimestampUTC, "member", name)}
	l.SetLevel(lev)
	return l
}

func (l *Logger) SetLevel(lev string) { l.swap.Swap(level.NewFilter(l.base, levelOf(lev))) }

func (l *Logger) Log(kv ...any) error { return l.swap.Log(kv...) }

func Why(err error) string {
	var b strings.Builder
	last := ""
	for e := err; e != nil; {
		if m := e.Error(); m != last && !strings.HasSuffix(last, m) {
			if b.Len() > 0 {
				b.WriteString(": ")
			}
			b.WriteString(m)
			last = m
		}
		if c := merry.Cause(e); c != nil && c != e {
			e = c
			continue
		}
		e = errors.Unwrap(e)
	}
	return b.String()
}

func Fail(faults []desired.Fault) {
	for _, f := range faults {
		fmt.Fprintf(os.Stderr, "boot: %s %s\n", f.Path, f.Text)
	}
	os.Exit(2)
}
