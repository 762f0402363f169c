package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

type proc struct {
	name string
	bin  string
	args []string
	http string
	ops  string
	logs string
	disk string

	address string
	cmd     *exec.Cmd
	dead    chan struct{}
	lock    sync.Mutex
}

func (p *proc) start() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.dead != nil {
		select {
		case <-p.dead:
		default:
			return nil
		}
	}
	f, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.bin, p.args...)
	p.cmd.Stderr, p.cmd.Stdout = f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	dead := make(chan struct{})
	p.dead = dead
	cmd := p.cmd
	go func() {
		cmd.Wait()
		f.Close()
		close(dead)
	}()
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(s)
	}
}

func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.dead
}

func (p *proc) term(wait time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.dead:
		return true
	case <-time.After(wait):
		p.kill()
		return false
	}
}

type fleet struct {
	plan     *plan
	control  []*proc
	data     []*proc
	backends []*backend
	led      *ledger
	plat     *platform
	req      *requesters
	lock     sync.Mutex
	gen      uint64
	dir      string
	bin      string
	next     string

	clockFrom  int64
	clockScale int64

	catchUp    time.Duration
	spares     int
	newControl func(i int, seeds []string) *proc
}

func newFleet(p *plan, bin, dir string, skew float64, scale int64, catchUp time.Duration, led *ledger) *fleet {
	f := &fleet{catchUp: catchUp, plan: p, led: led, dir: dir, bin: bin, clockScale: scale, clockFrom: time.Now().UnixMilli()}
	var clock []string
	if scale > 0 {
		clock = []string{"--clock-scale", fmt.Sprint(scale), "--clock-from-ms", fmt.Sprint(f.clockFrom)}
	}
	var seeds, founders []string
	for i := 0; i < 3; i++ {
		seeds = append(seeds, p.controlAddr(i, 7000))
	}
	founders = seeds
	f.newControl = func(i int, seeds []string) *proc {
		name := fmt.Sprintf("%s-control-%d", p.name, i)
		return &proc{name: name, bin: filepath.Join(bin, "controlplane"), http: p.controlAddr(i, 8000), ops: p.controlAddr(i, 9000), logs: filepath.Join(dir, name+".log"), disk: filepath.Join(dir, name), address: p.controlAddr(i, 7000),
			args: append([]string{"--name", name, "--cell", p.cell(i), "--address", p.controlAddr(i, 7000), "--http", p.controlAddr(i, 8000), "--operators", p.controlAddr(i, 9000), "--data", filepath.Join(dir, name), "--ring-file-mb", "2", "--voter-replace-ms", fmt.Sprint((catchUp / 4).Milliseconds()), "--seeds"}, append(append([]string{}, seeds...), append(append([]string{"--founders"}, founders...), clock...)...)...)}
	}
	for i := 0; i < p.control; i++ {
		f.control = append(f.control, f.newControl(i, seeds))
	}
	for i := 0; i < p.data; i++ {
		name := fmt.Sprintf("%s-data-%d", p.name, i)
		f.data = append(f.data, &proc{name: name, bin: filepath.Join(bin, "dataplane"), http: p.dataAddr(i, 8000), ops: p.dataAddr(i, 9000), logs: filepath.Join(dir, name+".log"),
			args: append([]string{"--name", name, "--cell", p.cell(i), "--address", p.dataAddr(i, 7000), "--http", p.dataAddr(i, 8000), "--operators", p.dataAddr(i, 9000), "--seeds"}, seeds...)})
	}
	n := 0
	for s, sv := range p.services {
		for i := 0; i < sv.backends; i++ {
			b := &backend{plan: p, service: sv.name, addr: p.backendAddr(s, i), cell: p.cell(n), slots: sv.slots, most: sv.most, led: led, beats: f.doors, names: n%4 == 3}
			n++
			mean := 0.0
			rate := 0.0
			for _, l := range p.lanes {
				if strings.Contains(p.desired, fmt.Sprintf(`"%s": {"tenant": "%s", "service": "%s"`, l.name, strings.Join(strings.Split(l.name, "-")[:strings.Count(l.name, "-")], "-"), sv.name)) {
					mean += l.rate * float64(l.work)
					rate += l.rate
				}
			}
			mean /= rate
			b.work = func() time.Duration { return time.Duration(mean * (0.5 + rand.Float64())) }
			f.backends = append(f.backends, b)
		}
	}
	f.plat = newPlatform(p, skew, func() []string {
		var out []string
		for _, d := range f.data {
			out = append(out, d.http)
		}
		return out
	})
	f.req = &requesters{plan: p, plat: f.plat, led: led, scale: 1, refuseB: 300 * time.Millisecond, tally: &tally{counts: map[string]int{}, reasons: map[string]int{}, perLane: map[string][2]int{}}}
	return f
}

func (f *fleet) doors() []string {
	var out []string
	for _, c := range f.control {
		out = append(out, c.http)
	}
	for _, d := range f.data {
		out = append(out, d.http)
	}
	return out
}

func (f *fleet) start() error {
	for _, p := range append(append([]*proc{}, f.control...), f.data...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, b := range f.backends {
		if err := b.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) stop() {
	var wait sync.WaitGroup
	for _, p := range append(append([]*proc{}, f.data...), f.control...) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.signal(syscall.SIGCONT)
			p.kill()
		}()
	}
	wait.Wait()
	for _, b := range f.backends {
		b.crash()
	}
}

func (f *fleet) change(done context.Context, method, doc string, basis uint64, id string, door int) (int, map[string]any, error) {
	req, _ := http.NewRequestWithContext(done, method, "http://"+f.control[door%len(f.control)].ops+"/desired", bytes.NewReader([]byte(doc)))
	req.Header.Set("If-Match", fmt.Sprint(basis))
	req.Header.Set("Sloeturn-Change-Id", id)
	c := http.Client{Timeout: 20 * time.Second}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	out := map[string]any{}
	json.Unmarshal(b, &out)
	return resp.StatusCode, out, nil
}

func (f *fleet) set(done context.Context, method, doc, id string) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	var last error
	for i := 0; done.Err() == nil; i++ {
		code, out, err := f.change(done, method, doc, f.gen, id, i)
		if err == nil && code == 200 {
			f.gen = uint64(out["generation"].(float64))
			f.req.acked.Store(f.gen)
			return nil
		}
		last = fmt.Errorf("status %d: %v %v", code, out, err)
		if code == 422 || code == 412 {
			return last
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

func (f *fleet) await(done context.Context, n int) error {
	for done.Err() == nil {
		if f.plat.count() >= n {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%d of %d nodes became ready", f.plat.count(), n)
}

func (f *fleet) fleetLine() (map[string]any, error) {
	c := http.Client{Timeout: 2 * time.Second}
	for _, p := range f.control {
		resp, err := c.Get("http://" + p.ops + "/fleet")
		if err != nil {
			continue
		}
		var v map[string]any
		err = json.NewDecoder(resp.Body).Decode(&v)
		resp.Body.Close()
		if err == nil && v["leader"] != "" {
			return v, nil
		}
	}
	return nil, fmt.Errorf("no control process answers")
}
