package main

import (
	"fmt"
	"math/rand"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// beatDelay is how late the first beat of the leaving backend is.
	beatDelay = 4 * time.Second
	// drainBound is how long after the acknowledgement requests may still reach it.
	drainBound = 2 * time.Second
	// servesFor is how long after the acknowledgement it goes on serving.
	servesFor = 14 * time.Second
	contact   = 3 * time.Second
)

// deregister: DRAIN. A backend signs off before its first beat, which is late, arrives; the process that
// heard the sign-off is killed and restarted meanwhile.
func deregister(f *fleet, trouble bool) (int, error) {
	if status, _ := f.call(word("replace"), "0", fmt.Sprintf(text("book.json"), 3), 15*time.Second); status != 200 {
		return 0, fmt.Errorf("the configuration got %d", status)
	}
	if err := f.endFirstStart(); err != nil {
		return 0, err
	}
	for i := range 6 {
		b, err := newBackend(f, fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", zones[i%len(zones)], f.subnet+".200:0", 4)
		if err != nil {
			return 0, err
		}
		b.quiet = true
		go b.beat()
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	var served, others atomic.Int64
	for _, m := range f.machines {
		for range 12 {
			go func() {
				for {
					if small(m.front(), fmt.Sprintf("book-%x", rand.Uint64())) == 200 {
						served.Add(1)
					} else {
						others.Add(1)
					}
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			}()
		}
	}
	leaving, err := newBackend(f, "i-02d9e6b4", "huvo11a", zones[0], f.subnet+".200:0", 4)
	if err != nil {
		return 0, err
	}
	leaving.quiet = true
	late := leaving.beatBody(leaving.sequence.Add(1), "available")
	f.note("backend %s starts; its first beat is on its way", leaving.id)
	status, by := f.call(word("leave")+leaving.id, "", "", 4*time.Second)
	if status != 200 {
		return 0, fmt.Errorf("the sign-off got %d", status)
	}
	acknowledged := time.Now()
	f.note("its sign-off is acknowledged by %s", by)
	time.Sleep(300 * time.Millisecond)
	settled := acknowledged
	if trouble {
		p := f.machines[0].control
		p.signal(syscall.SIGKILL)
		p.await(time.Second)
		f.note("%s is killed", p.name)
		time.Sleep(500 * time.Millisecond)
		if err := p.start(); err != nil {
			return 0, err
		}
		settled = time.Now()
		f.note("%s is started again", p.name)
	}
	time.Sleep(time.Until(acknowledged.Add(beatDelay)))
	status, by = f.call(word("beat")+leaving.id, "", late, time.Second)
	f.note("its first beat arrives %.1f s late and gets %d from %s", beatDelay.Seconds(), status, by)
	time.Sleep(time.Until(acknowledged.Add(servesFor)))
	leaving.end()
	f.note("backend %s ends", leaving.id)
	f.note("of the other requests %d were served, %d not", served.Load(), others.Load())
	bound := acknowledged.Add(drainBound)
	if inTouch := settled.Add(contact); trouble && inTouch.After(bound) {
		bound = inTouch
	}
	after := 0
	leaving.lock.Lock()
	defer leaving.lock.Unlock()
	for _, r := range leaving.runs {
		if r.at.After(bound) {
			if after++; after <= 5 {
				f.note("DRAIN: %s runs at %s, %.1f s after its sign-off was acknowledged, all machines in touch for %.1f s", r.id, leaving.id, r.at.Sub(acknowledged).Seconds(), r.at.Sub(settled).Seconds())
			}
		}
	}
	f.note("%d requests reached %s over %.1f s after the acknowledgement", after, leaving.id, bound.Sub(acknowledged).Seconds())
	if after > 0 {
		return broken, nil
	}
	return held, nil
}
