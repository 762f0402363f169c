package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	contact   = 3 * time.Second
	ackWithin = 4 * time.Second
	askWait   = time.Second
)

// counter sends one order after another and reads all the while, at one control process after another, also those that are away.
type counter struct {
	f      *fleet
	lock   sync.Mutex
	doors  []string
	floor  uint64
	acked  int
	reads  int
	slow   time.Duration
	late   time.Duration
	struck time.Time
}

func (f *fleet) openCounter() *counter {
	d := &counter{f: f, floor: f.gen, struck: time.Now()}
	d.list()
	return d
}

func (d *counter) list() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.doors = nil
	for _, p := range d.f.control {
		d.doors = append(d.doors, p.ops)
	}
}

// strike notes that a control process went or came just now.
func (d *counter) strike() {
	d.list()
	d.lock.Lock()
	d.struck = time.Now()
	d.lock.Unlock()
}

func (d *counter) door(i int) string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.doors[i%len(d.doors)]
}

func (d *counter) ask(done context.Context, method, door, doc, id string, basis uint64) (code int, gen uint64) {
	wait, stop := context.WithTimeout(done, askWait)
	defer stop()
	req, _ := http.NewRequestWithContext(wait, method, "http://"+door+"/desired", strings.NewReader(doc))
	if method != "GET" {
		req.Header.Set("If-Match", fmt.Sprint(basis))
		req.Header.Set("Sloeturn-Change-Id", id)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var out struct{ Generation uint64 }
	json.NewDecoder(resp.Body).Decode(&out)
	if g, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64); err == nil {
		out.Generation = g
	}
	return resp.StatusCode, out.Generation
}

func (d *counter) rise(g uint64) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.floor = max(d.floor, g)
}

// order sends one change until it is acknowledged; it was taken only once, so no other answer but unclear ones may come.
func (d *counter) order(done context.Context) bool {
	f, id, from := d.f, fmt.Sprint("order-", time.Now().UnixNano()), time.Now()
	for i := rand.Intn(16); done.Err() == nil; i++ {
		code, gen := d.ask(done, "PATCH", d.door(i), `{"fleet":{"retiring":1}}`, id, f.gen)
		if code == 200 {
			f.gen = gen
			f.req.acked.Store(gen)
			d.rise(gen)
			d.lock.Lock()
			d.acked++
			d.slow = max(d.slow, time.Since(from))
			calm := from
			if s := d.struck.Add(contact); s.After(calm) {
				calm = s
			}
			d.late = max(d.late, time.Since(calm))
			d.lock.Unlock()
			if time.Since(calm) > ackWithin {
				f.led.broken.say("an order was not acknowledged in time", "%s after %v, %v of it with a calm core", id, time.Since(from), time.Since(calm))
			}
			return true
		}
		if code == 412 || code == 422 {
			f.led.broken.say("a proper order was refused", "%s on %d: %d, generation %d", id, f.gen, code, gen)
			f.gen = max(f.gen, gen)
			return false
		}
		pause(done, time.Duration(20+rand.Intn(80))*time.Millisecond)
	}
	return false
}

func (d *counter) read(done context.Context, i int) {
	d.lock.Lock()
	floor := d.floor
	d.lock.Unlock()
	if code, gen := d.ask(done, "GET", d.door(i), "", "", 0); code == 200 {
		if gen < floor {
			d.f.led.broken.say("a read went back", "%d, after %d was known", gen, floor)
		}
		d.rise(gen)
		d.lock.Lock()
		d.reads++
		d.lock.Unlock()
	}
}

// open lets orders and reads go on until stop, which tells what came of them.
func (d *counter) open(done context.Context, least, most time.Duration) (stop func() string) {
	d.f.lock.Lock()
	on, end := context.WithCancel(done)
	var wait sync.WaitGroup
	wait.Add(2)
	go func() {
		defer wait.Done()
		for on.Err() == nil {
			d.order(done)
			pause(on, least+time.Duration(rand.Int63n(int64(most-least))))
		}
	}()
	go func() {
		defer wait.Done()
		for i := 0; pause(on, 100*time.Millisecond); i++ {
			d.read(on, rand.Intn(16))
		}
	}()
	return func() string {
		end()
		wait.Wait()
		d.f.lock.Unlock()
		return fmt.Sprintf("%d orders acknowledged, slowest %v, longest with a calm core %v, %d reads", d.acked, d.slow.Round(time.Millisecond), d.late.Round(time.Millisecond), d.reads)
	}
}

// joining is the arguments of a control process that never founds a fleet.
func joining(args []string) []string {
	i := slices.Index(args, "--founders")
	if i < 0 {
		return args
	}
	j := i + 1
	for j < len(args) && !strings.HasPrefix(args[j], "--") {
		j++
	}
	return append(append(slices.Clone(args[:i]), "--joins"), args[j:]...)
}

// empty starts a control process with an empty disk at an address of its own in the place of another.
func (f *fleet) empty(old *proc) (*proc, error) {
	var seeds []string
	for _, p := range f.control {
		if p != old && len(seeds) < 3 {
			seeds = append(seeds, p.address)
		}
	}
	f.spares++
	fresh := f.newControl(f.plan.control+20+f.spares, seeds)
	fresh.args = joining(fresh.args)
	f.control[slices.Index(f.control, old)] = fresh
	return fresh, fresh.start()
}

func (f *fleet) wipe(p *proc) error {
	if err := os.RemoveAll(p.disk); err != nil {
		return err
	}
	p.args = joining(p.args)
	return p.start()
}

// loseInTurn loses one control process after another; each is back, or an empty one in its place, for catchUp before the next goes.
func (f *fleet) loseInTurn(done context.Context, d *counter, n int, how func(i int, p *proc) (string, error)) (string, error) {
	var told []string
	for i := 0; i < n && done.Err() == nil; i++ {
		p := f.control[i%len(f.control)]
		if l, err := f.leader(); err == nil && i%2 == 0 {
			p = l
		}
		d.strike()
		what, err := how(i, p)
		if err != nil {
			return "", err
		}
		d.strike()
		told = append(told, what)
		pause(done, f.catchUp)
	}
	return strings.Join(told, ", "), nil
}

func (f *fleet) loss(i int, p *proc) (string, error) {
	switch i % 4 {
	case 0:
		p.kill()
		fresh, err := f.empty(p)
		return fmt.Sprintf("%s replaced by %s", p.name, fresh.name), err
	case 1:
		p.kill()
		return p.name + " wiped", f.wipe(p)
	case 2:
		p.term(10 * time.Second)
		fresh, err := f.empty(p)
		return fmt.Sprintf("%s left, replaced by %s", p.name, fresh.name), err
	}
	p.kill()
	return p.name + " killed", p.start()
}

// caughtUp checks that every control process holds what was acknowledged, within catchUp.
func (f *fleet) caughtUp(done context.Context) {
	c := http.Client{Timeout: askWait}
	for _, p := range f.control {
		last, end := uint64(0), time.Now().Add(f.catchUp)
		for last < f.gen && time.Now().Before(end) && done.Err() == nil {
			if resp, err := c.Get("http://" + p.ops + "/fleet"); err == nil {
				var v struct{ Generation uint64 }
				json.NewDecoder(resp.Body).Decode(&v)
				resp.Body.Close()
				last = v.Generation
			}
			pause(done, 50*time.Millisecond)
		}
		if last < f.gen && done.Err() == nil {
			f.led.broken.say("a member never caught up", "%s stands at %d, acknowledged %d", p.name, last, f.gen)
		}
	}
}

func init() {
	faults["second-loss"] = fault{true, func(done context.Context, f *fleet) (string, error) {
		d := f.openCounter()
		stop := d.open(done, 100*time.Millisecond, 600*time.Millisecond)
		note, err := f.loseInTurn(done, d, 8, f.loss)
		said := stop()
		if err != nil {
			return "", err
		}
		f.caughtUp(done)
		return f.back(done, note+"; "+said)
	}}
	faults["stop-leader"] = fault{true, func(done context.Context, f *fleet) (string, error) {
		d := f.openCounter()
		stop := d.open(done, 100*time.Millisecond, 600*time.Millisecond)
		var told []string
		for i := 0; i < 2 && done.Err() == nil; i++ {
			p, err := f.leader()
			if err != nil {
				stop()
				return "", err
			}
			d.strike()
			p.signal(syscall.SIGSTOP)
			pause(done, 20*time.Second)
			p.signal(syscall.SIGCONT)
			d.strike()
			told = append(told, p.name)
			pause(done, f.catchUp)
		}
		said := stop()
		f.caughtUp(done)
		return f.back(done, strings.Join(told, " and ")+" stood for 20 s as leader; "+said)
	}}
	faults["hundreds"] = fault{true, func(done context.Context, f *fleet) (string, error) {
		node := f.data[len(f.data)-1]
		f.plat.stood.Store(node.http, time.Now().Add(time.Hour))
		node.signal(syscall.SIGSTOP)
		d := f.openCounter()
		stop := d.open(done, 10*time.Millisecond, 50*time.Millisecond)
		from := time.Now()
		note, err := f.loseInTurn(done, d, 6, f.loss)
		for err == nil && done.Err() == nil && d.count() < 300 && time.Since(from) < 2*time.Minute {
			pause(done, 100*time.Millisecond)
		}
		said := stop()
		node.signal(syscall.SIGCONT)
		f.plat.stood.Store(node.http, time.Now())
		if err != nil {
			return "", err
		}
		f.caughtUp(done)
		return f.back(done, note+"; "+node.name+" stood all the while; "+said)
	}}
}

func (d *counter) count() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.acked
}
