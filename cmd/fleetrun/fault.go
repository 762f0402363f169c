package main

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"
)

type fault struct {
	rough bool
	cause func(done context.Context, f *fleet) (string, error)
}

var faults = map[string]fault{
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
		slow := 0
		for _, p := range append(append([]*proc{}, f.data...), f.control...) {
			if !p.term(20 * time.Second) {
				slow++
			}
			if err := p.start(); err != nil {
				return "", err
			}
			pause(done, 1500*time.Millisecond)
		}
		if slow > 0 {
			return "", fmt.Errorf("%d processes did not end by themselves", slow)
		}
		return "every process stopped gently and started again", nil
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
