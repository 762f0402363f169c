package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type fault struct {
	rough bool
	cause func(done context.Context, f *fleet) (string, error)
}

var faults = map[string]fault{
	"holiday":   {true, func(done context.Context, f *fleet) (string, error) { return f.holiday(done) }},
	"operators": {true, func(done context.Context, f *fleet) (string, error) { return f.operators(done) }},
	"kill-node": {true, func(done context.Context, f *fleet) (string, error) {
		p := f.data[0]
		p.kill()
		pause(done, 2*time.Second)
		return "one node killed and started again", p.start()
	}},
	"kill-leader": {true, func(done context.Context, f *fleet) (string, error) {
		p, err := f.leader()
		if err != nil {
			return "", err
		}
		p.kill()
		pause(done, 3*time.Second)
		return p.name + " killed and started again", p.start()
	}},
	"rolling-restart": {false, func(done context.Context, f *fleet) (string, error) {
		return "every process stopped gently and started again", f.roll(done, "")
	}},
	"upgrade": {false, func(done context.Context, f *fleet) (string, error) {
		if f.next == "" {
			return "no other build named by --next; left out", nil
		}
		err := f.roll(done, f.next)
		return "every process stopped gently and started again from the other build; live now " + f.builds(), err
	}},
	"roll-back": {false, func(done context.Context, f *fleet) (string, error) {
		if f.next == "" {
			return "no other build named by --next; left out", nil
		}
		err := f.roll(done, f.bin)
		return "and back to the first; live now " + f.builds(), err
	}},
	"busy-disk": {false, func(done context.Context, f *fleet) (string, error) {
		busy, stop := context.WithTimeout(done, 10*time.Second)
		defer stop()
		var wait sync.WaitGroup
		for i := 0; i < 6; i++ {
			wait.Add(1)
			go func() {
				defer wait.Done()
				f.hammer(busy, i)
			}()
		}
		at := time.Now()
		err := f.set(done, "PATCH", `{"fleet":{"retiring":1}}`, fmt.Sprint("busy-", at.UnixNano()))
		took := time.Since(at)
		wait.Wait()
		return fmt.Sprintf("other writers synced beside the logs for 10 s; slowest sync of a log %v, a change acknowledged after %v", f.slowest().Round(time.Millisecond), took.Round(time.Millisecond)), err
	}},
	"swap-all": {true, func(done context.Context, f *fleet) (string, error) {
		at := time.Now()
		for i := 0; i < f.plan.control; i++ {
			if err := f.swap(done, i); err != nil {
				return "", err
			}
		}
		took := time.Since(at)
		for _, p := range f.control {
			p.kill()
		}
		for _, p := range f.control {
			if err := p.start(); err != nil {
				return "", err
			}
		}
		note, err := f.back(done, fmt.Sprintf("%d disk holders moved to new machines in %v, then all killed and started", f.plan.control, took.Round(time.Millisecond)))
		if err == nil {
			err = f.set(done, "PATCH", `{"fleet":{"retiring":1}}`, fmt.Sprint("swapped-", at.UnixNano()))
		}
		return note, err
	}},
	"drain-backend": {false, func(done context.Context, f *fleet) (string, error) {
		b := f.backends[1]
		if err := b.drain(); err != nil {
			return "", err
		}
		pause(done, 5*time.Second)
		b.signOff()
		b.crash()
		return b.addr + " drained, signed off, started anew", b.start()
	}},
	"crash-backend": {true, func(done context.Context, f *fleet) (string, error) {
		b := f.backends[2]
		b.crash()
		pause(done, 3*time.Second)
		return b.addr + " crashed, started anew", b.start()
	}},
	"swap-service": {true, func(done context.Context, f *fleet) (string, error) {
		x, y := f.backends[3], f.backends[len(f.backends)-1]
		x.crash()
		y.crash()
		x.service, y.service = y.service, x.service
		if err := x.start(); err != nil {
			return "", err
		}
		if err := y.start(); err != nil {
			return "", err
		}
		pause(done, 5*time.Second)
		return x.addr + " and " + y.addr + " serve each other's service", nil
	}},
	"kill-many": {true, func(done context.Context, f *fleet) (string, error) {
		for _, p := range f.data[:len(f.data)/2] {
			p.kill()
		}
		pause(done, time.Second)
		for _, p := range f.data[:len(f.data)/2] {
			if err := p.start(); err != nil {
				return "", err
			}
		}
		return f.back(done, "half of the nodes killed at once")
	}},
	"kill-all-disks": {true, func(done context.Context, f *fleet) (string, error) {
		for _, p := range f.control {
			p.kill()
		}
		for _, p := range f.control {
			if err := p.start(); err != nil {
				return "", err
			}
		}
		return f.back(done, "every control process killed at once and started again")
	}},
	"lose-disk": {true, func(done context.Context, f *fleet) (string, error) {
		if err := f.set(done, "PATCH", `{"fleet":{"retiring":1}}`, fmt.Sprint("before-loss-", time.Now().UnixNano())); err != nil {
			return "", err
		}
		p, err := f.leader()
		if err != nil {
			return "", err
		}
		old := ""
		if v, err := f.fleetLine(); err == nil {
			old = f.voterOf(v, p.name)
		}
		p.kill()
		if err := os.RemoveAll(p.disk); err != nil {
			return "", err
		}
		if err := p.start(); err != nil {
			return "", err
		}
		at := time.Now()
		for done.Err() == nil {
			v, err := f.fleetLine()
			if now := f.voterOf(v, p.name); err == nil && now != "" && now != old && f.voters(v) >= 3 {
				if got := uint64(v["generation"].(float64)); got < f.gen {
					f.led.broken.say("acknowledged generation missing", "reads %d, acknowledged %d", got, f.gen)
				}
				return fmt.Sprintf("leader %s killed and its disk wiped just after a yes; under a new voter id, learner or voter, beside three voters after %v", p.name, time.Since(at).Round(time.Millisecond)), nil
			}
			pause(done, 100*time.Millisecond)
		}
		return "", fmt.Errorf("the wiped disk holder did not become a voter again")
	}},
	"swap-holder": {true, func(done context.Context, f *fleet) (string, error) {
		if f.plan.control < 4 {
			return "no disk holder to spare here; left out", nil
		}
		v, err := f.fleetLine()
		if err != nil {
			return "", err
		}
		var out *proc
		for _, p := range f.control {
			if p.name != v["leader"] && f.votes(v, p.name) {
				out = p
			}
		}
		if out == nil {
			return "", fmt.Errorf("no voter but the leader")
		}
		out.term(10 * time.Second)
		at := time.Now()
		for done.Err() == nil {
			if v, err := f.fleetLine(); err == nil && f.voters(v) >= 3 && !f.votes(v, out.name) {
				took := time.Since(at)
				if err := f.set(done, "PATCH", `{"fleet":{"retiring":1}}`, fmt.Sprint("after-swap-", at.UnixNano())); err != nil {
					return "", err
				}
				return fmt.Sprintf("%s left for good; the spare disk holder votes in its place after %v, and a change was taken", out.name, took.Round(time.Millisecond)), out.start()
			}
			pause(done, 100*time.Millisecond)
		}
		return "", fmt.Errorf("the spare disk holder did not take its place")
	}},
	"freeze-node": {true, func(done context.Context, f *fleet) (string, error) {
		p := f.data[1]
		f.plat.stood.Store(p.http, time.Now().Add(time.Hour))
		p.signal(syscall.SIGSTOP)
		pause(done, 8*time.Second)
		p.signal(syscall.SIGCONT)
		f.plat.stood.Store(p.http, time.Now())
		return f.back(done, p.name+" frozen for 8 s")
	}},
	"freeze-leader": {true, func(done context.Context, f *fleet) (string, error) {
		p, err := f.leader()
		if err != nil {
			return "", err
		}
		p.signal(syscall.SIGSTOP)
		pause(done, 6*time.Second)
		p.signal(syscall.SIGCONT)
		return f.back(done, p.name+" frozen for 6 s")
	}},
	"race": {false, func(done context.Context, f *fleet) (string, error) {
		type said struct {
			code int
			gen  float64
		}
		f.lock.Lock()
		defer f.lock.Unlock()
		got := make(chan said, 2)
		for i := 0; i < 2; i++ {
			go func() {
				code, out, _ := f.change(done, "PATCH", fmt.Sprintf(`{"fleet":{"retiring":%d}}`, 1), f.gen, fmt.Sprintf("race-%d-%d", i, time.Now().UnixNano()), i)
				g, _ := out["generation"].(float64)
				got <- said{code, g}
			}()
		}
		a, b := <-got, <-got
		if (a.code == 200) == (b.code == 200) {
			return "", fmt.Errorf("both racers heard %d and %d", a.code, b.code)
		}
		f.gen = uint64(max(a.gen, b.gen))
		f.req.acked.Store(f.gen)
		return fmt.Sprintf("racers heard %d and %d", a.code, b.code), nil
	}},
	"broken-desired": {false, func(done context.Context, f *fleet) (string, error) {
		code, out, err := f.change(done, "PATCH", `{"fleet":{"nodes":-1},"lanes":{"x":{"slots":0}}}`, f.gen, fmt.Sprint("broken-", time.Now().UnixNano()), 1)
		if err != nil || code != 422 {
			return "", fmt.Errorf("heard %d %v", code, err)
		}
		return fmt.Sprintf("refused, naming %d faults", len(out["faults"].([]any))), nil
	}},
	"wrong-bytes": {true, func(done context.Context, f *fleet) (string, error) {
		for _, m := range []string{"truncate", "garble", "oversize", "lose", "error"} {
			f.backends[4].mode.Store(&m)
			pause(done, 2*time.Second)
		}
		plain := ""
		f.backends[4].mode.Store(&plain)
		return f.backends[4].addr + " truncated, garbled, swelled, lost answers and said 503", nil
	}},
	"flood": {true, func(done context.Context, f *fleet) (string, error) {
		before := f.req.tally.share()
		flood, stop := context.WithTimeout(done, 6*time.Second)
		defer stop()
		f.req.flood(flood, f.plan.lanes[0], 600)
		<-flood.Done()
		after := f.req.tally.share()
		return fmt.Sprintf("lane %s flooded at 600 more a second; share served on the other lanes %.4f before, %.4f by its end, ratio %.4f", f.plan.lanes[0].name, before, after, after/before), nil
	}},
	"change-desired": {false, func(done context.Context, f *fleet) (string, error) {
		at := time.Now()
		doc := strings.Replace(f.plan.desired, `"surge": 1`, `"surge": 0`, 1)
		if err := f.set(done, "PUT", doc, fmt.Sprint("change-", at.UnixNano())); err != nil {
			return "", err
		}
		one := time.Since(at)
		return fmt.Sprintf("acknowledged after %v", one.Round(time.Millisecond)), nil
	}},
}

func (f *fleet) back(done context.Context, what string) (string, error) {
	at := time.Now()
	for done.Err() == nil {
		n := 0
		c := http.Client{Timeout: 300 * time.Millisecond}
		for _, p := range f.data {
			resp, err := c.Get("http://" + p.http + "/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					n++
				}
			}
		}
		if n == len(f.data) {
			took := time.Since(at)
			if took > 15*time.Second {
				return "", fmt.Errorf("all nodes ready again only after %v", took)
			}
			return fmt.Sprintf("%s; all nodes ready %v after mending", what, took.Round(time.Millisecond)), nil
		}
		pause(done, 50*time.Millisecond)
	}
	return "", fmt.Errorf("the run ended before all nodes were ready again")
}

func (f *fleet) roll(done context.Context, bin string) error {
	slow := 0
	for _, p := range append(append([]*proc{}, f.data...), f.control...) {
		if !p.term(20 * time.Second) {
			slow++
		}
		if bin != "" {
			p.bin = filepath.Join(bin, filepath.Base(p.bin))
		}
		if err := p.start(); err != nil {
			return err
		}
		pause(done, 1500*time.Millisecond)
	}
	if slow > 0 {
		return fmt.Errorf("%d processes did not end by themselves", slow)
	}
	return nil
}

func (f *fleet) builds() string {
	v, _ := f.fleetLine()
	count := map[string]int{}
	list, _ := v["cards"].([]any)
	for _, e := range list {
		if m := e.(map[string]any); m["state"] == "live" {
			count[m["build"].(string)]++
		}
	}
	return pairs(count)
}

func (f *fleet) hammer(done context.Context, i int) {
	name := filepath.Join(f.dir, fmt.Sprintf("%s-busy-%d", f.plan.name, i))
	k, err := os.Create(name)
	if err != nil {
		return
	}
	defer os.Remove(name)
	defer k.Close()
	b := make([]byte, 8<<20)
	for done.Err() == nil {
		k.WriteAt(b, 0)
		k.Sync()
	}
}

func (f *fleet) slowest() time.Duration {
	worst := 0.0
	for _, p := range f.control {
		resp, err := http.Get("http://" + p.ops + "/metrics")
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		for _, l := range strings.Split(string(b), "\n") {
			if v, ok := strings.CutPrefix(l, "sloeturn_disk_slowest_seconds "); ok {
				n, _ := strconv.ParseFloat(v, 64)
				worst = max(worst, n)
			}
		}
	}
	return time.Duration(worst * 1e9)
}

func (f *fleet) swap(done context.Context, i int) error {
	var seeds []string
	for _, p := range f.control[:min(3, len(f.control))] {
		seeds = append(seeds, p.address)
	}
	fresh := f.newControl(f.plan.control+i, seeds)
	if err := fresh.start(); err != nil {
		return err
	}
	pause(done, 1500*time.Millisecond)
	old := f.control[0]
	f.control = append(f.control[1:], fresh)
	old.term(10 * time.Second)
	for done.Err() == nil {
		if v, err := f.fleetLine(); err == nil && f.voters(v) >= 3 && !f.votes(v, old.name) {
			return f.set(done, "PATCH", `{"fleet":{"retiring":1}}`, fmt.Sprint("swap-", old.name))
		}
		pause(done, 100*time.Millisecond)
	}
	return fmt.Errorf("%s was not replaced", old.name)
}

func (f *fleet) voters(v map[string]any) int {
	n := 0
	list, _ := v["roster"].([]any)
	for _, e := range list {
		if e.(map[string]any)["learner"] == false {
			n++
		}
	}
	return n
}

func (f *fleet) votes(v map[string]any, name string) bool {
	list, _ := v["roster"].([]any)
	for _, e := range list {
		if m := e.(map[string]any); m["member"] == name && m["learner"] == false {
			return true
		}
	}
	return false
}

func (f *fleet) voterOf(v map[string]any, name string) string {
	list, _ := v["roster"].([]any)
	for _, e := range list {
		if m := e.(map[string]any); m["member"] == name {
			return m["voter"].(string)
		}
	}
	return ""
}

func faultOf(n string) *fault {
	v, ok := faults[n]
	if !ok {
		return nil
	}
	return &v
}

func faultNames() []string {
	var out []string
	for n := range faults {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func (f *fleet) leader() (*proc, error) {
	v, err := f.fleetLine()
	if err != nil {
		return nil, err
	}
	for _, p := range f.control {
		if p.name == v["leader"] {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no leader known")
}
