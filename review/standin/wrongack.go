package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloeturn/platform"
)

// leaver is a backend that leaves in order, and what it saw of requests after that.
type leaver struct {
	*backend
	said  string // what it said: draining, or a sign-off at once
	by    int    // the control process that acknowledged it
	acked time.Time
	late  int
	last  time.Time
}

// call sends one call of a backend; it is acknowledged by a 2xx within a second.
func (b *backend) call(machine int, path, body string) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+b.fleet.control(machine)+path, "application/json", strings.NewReader(body))
	if err != nil {
		b.fleet.says("%s: %s at control%d: no answer", b.id, path, machine)
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	b.fleet.says("%s: %s at control%d: %d", b.id, path, machine, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// leaves says that the backend leaves, first to one control process and then to others, until it is
// acknowledged; a pause grows between calls.
func (l *leaver) leaves(signOff bool, order []int) {
	pause := 30 * time.Millisecond
	for try := 0; try < 12; try++ {
		at := order[try%len(order)]
		ok := false
		if signOff {
			ok = l.call(at, word("sign off")+l.id, "")
		} else {
			l.lock.Lock()
			l.turn++
			l.state = "draining"
			body := fmt.Sprintf(text("beat.json"), l.service, l.addr, l.zone, l.slots, l.state, l.turn)
			l.lock.Unlock()
			ok = l.call(at, word("beat")+l.id, body)
		}
		if ok {
			l.lock.Lock()
			l.acked, l.by = time.Now(), at
			l.lock.Unlock()
			return
		}
		time.Sleep(pause)
		pause += pause / 2
	}
}

// wrongAck: two control processes are killed at one moment while backends of a third one's cell say
// that they drain; both are back within a second, and backends of another cell sign off meanwhile.
func wrongAck(f *fleet, trouble bool) error {
	var lock sync.Mutex
	var leavers []*leaver
	settled := time.Time{}
	byZone := map[int][]*leaver{}
	if err := f.open(6, text("book.json")); err != nil {
		return err
	}
	for zone := 0; zone < 3; zone++ {
		for i := 0; i < 8; i++ {
			l := &leaver{}
			b, err := f.backend(fmt.Sprintf("i-%s-%d", zones[zone], i), "agenda", 100+zone*10+i, zone, func(c net.Conn, v visit) bool {
				lock.Lock()
				now := time.Now()
				l.lock.Lock()
				acked := l.acked
				l.lock.Unlock()
				if !acked.IsZero() && now.Sub(acked) > 2200*time.Millisecond && !settled.IsZero() && now.Sub(settled) > 3200*time.Millisecond {
					l.late++
					l.last = now
				}
				lock.Unlock()
				time.Sleep(5 * time.Millisecond)
				return whole(c, v, "booked "+v.id) == nil
			})
			if err != nil {
				return err
			}
			l.backend = b
			byZone[zone] = append(byZone[zone], l)
		}
	}
	time.Sleep(6 * time.Second)
	lead := 0
	for end := time.Now().Add(10 * time.Second); lead == 0; time.Sleep(300 * time.Millisecond) {
		home := 0
		for i := 1; i <= cores; i++ {
			v, err := f.looks(i)
			if err != nil {
				continue
			}
			if v.Role == "leader" {
				lead = i
			}
			for _, c := range v.Cells {
				if c.Cell == zones[i-1] && c.Active {
					home++
				}
			}
		}
		if home < cores {
			lead = 0
		}
		if time.Now().After(end) {
			return fmt.Errorf("the cells are not held by the control processes of their zones")
		}
	}
	holder, first := lead, lead%cores+1
	second := first%cores + 1
	f.says("control%d leads and holds %s; control%d and control%d are killed", holder, zones[holder-1], first, second)

	stop := make(chan struct{})
	var wait sync.WaitGroup
	served, failed := 0, 0
	for i := 0; i < 8; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				req, _ := http.NewRequest("POST", "http://"+f.front(4+n%3)+"/book/a", strings.NewReader("x"))
				req.Host = "shop.example"
				req.Header.Set(platform.AttemptIDHeader, fmt.Sprintf("a-%d-%d", i, n))
				req.Header.Set(platform.TimeRemainingHeader, "1200")
				resp, err := c.Do(req)
				lock.Lock()
				if err == nil && resp.StatusCode == 200 {
					served++
				} else {
					failed++
				}
				lock.Unlock()
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)

	rests := func(list []*leaver, signOff bool, order []int) {
		for _, l := range list {
			leavers = append(leavers, l)
			if l.said = "draining"; signOff {
				l.said = "sign-off"
				l.signsOff()
			}
			go l.leaves(signOff, order)
		}
	}
	// the four of the holder's zone drain by way of the first
	rests(byZone[holder-1][:4], false, []int{first, holder, second})
	time.Sleep(time.Duration(envInt("LEAD_MS", 12)) * time.Millisecond)
	if trouble {
		for _, i := range []int{first, second} {
			f.cores[i-1].signal(syscall.SIGKILL)
		}
		<-f.cores[first-1].ended
		<-f.cores[second-1].ended
		time.Sleep(time.Duration(envInt("DOWN_MS", 60)) * time.Millisecond)
		if err := f.cores[first-1].begin(); err != nil {
			return err
		}
		f.says("control%d is started", first)
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			if c, err := net.Dial("tcp", f.control(first)); err == nil {
				c.Close()
				break
			}
		}
	}
	rests(byZone[second-1][:4], true, []int{first, second, holder})
	if trouble {
		time.Sleep(600 * time.Millisecond)
		if err := f.cores[second-1].begin(); err != nil {
			return err
		}
		f.says("control%d is started", second)
	}
	lock.Lock()
	settled = time.Now()
	lock.Unlock()
	time.Sleep(11 * time.Second)
	close(stop)
	wait.Wait()
	lock.Lock()
	defer lock.Unlock()
	f.says("clients: %d served, %d not", served, failed)
	for _, l := range leavers {
		f.says("%s (%s): acknowledged by control%d at %.3f, %d requests later than drain after that, from machines in touch", l.id, l.said, l.by, l.acked.Sub(f.start).Seconds(), l.late)
		if l.late > 0 {
			f.breaks("DRAIN: %s said %s, control%d acknowledged it, and %d requests reached it later than 2 s after that, the last %v after", l.id, l.said, l.by, l.late, l.last.Sub(l.acked).Round(time.Millisecond))
		}
	}
	return nil
}
