package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	exportBytes = 3 << 20
	// exportPieceBytes each exportPause are 400 KB/s.
	exportPieceBytes = 16 << 10
	exportPause      = 40 * time.Millisecond
	exportsPerNode   = 2
	lookupsAtOnce    = 10
	lookupInterval   = 300 * time.Millisecond
	calmTime         = 12 * time.Second
	// The time in which a change applies and one second follow the acknowledgement.
	windowAfterAck = 3 * time.Second
)

// export is one request of a client that reads a long answer at the pace of its link.
type export struct {
	id          string
	machine     *machine
	sent, ended time.Time
	status      int
	got, want   int64
	whole       bool
	text        string
}

func (e *export) fetch(address string) { e.fetchWithin(address, 20*time.Second, exportPause) }

// fetchWithin reads the answer in pieces, with a pause after each.
func (e *export) fetchWithin(address string, deadline, pause time.Duration) {
	e.sent = time.Now()
	defer func() { e.ended = time.Now() }()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		e.text = err.Error()
		return
	}
	defer connection.Close()
	connection.(*net.TCPConn).SetReadBuffer(32 << 10)
	connection.SetDeadline(time.Now().Add(deadline))
	fmt.Fprintf(connection, "GET /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n%s%s\r\n", line("id", e.id), line("left", fmt.Sprint(deadline.Milliseconds())))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		e.text = err.Error()
		return
	}
	defer response.Body.Close()
	e.status, e.want = response.StatusCode, response.ContentLength
	piece := make([]byte, exportPieceBytes)
	for {
		count, err := io.ReadFull(response.Body, piece)
		e.got += int64(count)
		if err == io.EOF || err == io.ErrUnexpectedEOF && e.got == e.want {
			e.whole = true
			return
		}
		if err != nil {
			e.text = err.Error()
			return
		}
		time.Sleep(pause)
	}
}

// lookups sends ordinary short requests, some at once, to a machine until it is stopped.
func lookups(f *fleet, m *machine, stop chan struct{}, counts *[600]atomic.Int64) {
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: lookupsAtOnce}}
	defer client.CloseIdleConnections()
	for {
		for range lookupsAtOnce {
			go func() {
				request, err := http.NewRequest("GET", "http://"+m.front()+"/pufi791/2f", nil)
				if err != nil {
					return
				}
				request.Host = "ficu95.example"
				request.Header.Set(word("id"), fmt.Sprintf("lookup-%x", rand.Uint64()))
				request.Header.Set(word("left"), "1500")
				response, err := client.Do(request)
				if err != nil {
					counts[0].Add(1)
					return
				}
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
				counts[min(response.StatusCode, 599)].Add(1)
			}()
		}
		select {
		case <-stop:
			return
		case <-time.After(lookupInterval):
		}
	}
}

// slowReader: LOST. A configuration moves a route to the service from which clients read long answers at the
// pace of their links.
func slowReader(f *fleet, trouble bool) (int, error) {
	if status, _ := f.call(word("replace"), "0", fmt.Sprintf(text("export.json"), 3, "wuno96b"), 15*time.Second); status != 200 {
		return 0, fmt.Errorf("the configuration got %d", status)
	}
	if err := f.endFirstStart(); err != nil {
		return 0, err
	}
	for i := range 12 {
		service := []string{"huvo11a", "wuno96b", "wuno96b", "wuno96b"}[i/3]
		b, err := newBackend(f, fmt.Sprintf("i-7f3a91%02x", i), service, zones[i%len(zones)], f.subnet+".200:0", 2)
		if err != nil {
			return 0, err
		}
		b.quiet, b.work = true, 60*time.Millisecond
		b.answerBytes = func(path string) int {
			if bytes.HasPrefix([]byte(path), []byte("/lohu930/")) {
				return exportBytes
			}
			return 400
		}
		go b.beat()
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var counts [600]atomic.Int64
	var lock sync.Mutex
	var exports []*export
	var clients sync.WaitGroup
	for i, m := range f.machines {
		go lookups(f, m, stop, &counts)
		for k := range exportsPerNode {
			clients.Go(func() {
				time.Sleep(time.Duration(k) * 2 * time.Second)
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					e := &export{machine: m, id: fmt.Sprintf("export-%d-%d-%d-%x", i, k, n, rand.Uint32())}
					e.fetch(m.front())
					f.note("client of %s at %s: answer %d, %d of %d bytes in %.1f s %s", e.id, m.ip, e.status, e.got, e.want, e.ended.Sub(e.sent).Seconds(), e.text)
					lock.Lock()
					exports = append(exports, e)
					lock.Unlock()
				}
			})
		}
	}
	time.Sleep(calmTime)
	note := func(what string) {
		f.note("%s; lookups so far: 200 %d, 503 %d, 502 %d, 504 %d, no answer %d", what, counts[200].Load(), counts[503].Load(), counts[502].Load(), counts[504].Load(), counts[0].Load())
	}
	sent, acknowledged := time.Now(), time.Now()
	if trouble {
		note("the operator moves r-lookup to huvo11a")
		if status, _ := f.call(word("replace"), "3", fmt.Sprintf(text("export.json"), 5, "huvo11a"), 10*time.Second); status != 200 {
			return 0, fmt.Errorf("the change got %d", status)
		}
		acknowledged = time.Now()
		note("the change is acknowledged")
	}
	time.Sleep(time.Until(acknowledged.Add(windowAfterAck - 200*time.Millisecond)))
	close(stop)
	note("the ordinary load ends with the time around the change")
	clients.Wait()
	result := held
	for _, m := range f.machines {
		around, aroundCut, others, othersCut := 0, 0, 0, 0
		for _, e := range exports {
			if e.machine != m {
				continue
			}
			in := e.ended.After(sent) && e.ended.Before(acknowledged.Add(windowAfterAck))
			cut := e.status == 200 && !e.whole
			switch {
			case !in && cut:
				othersCut++
			case !in:
				others++
			case cut && e.ended.Sub(e.sent) < 14*time.Second:
				aroundCut++
				f.note("LOST: %s had its answer cut off after %d of %d bytes, %.1f s after it was sent", e.id, e.got, e.want, e.ended.Sub(e.sent).Seconds())
			default:
				around++
			}
		}
		f.note("%s: answers cut off around the change: %d, whole: %d; at other times cut off: %d, whole: %d", m.ip, aroundCut, around, othersCut, others)
		if aroundCut > 0 && float64(aroundCut)/float64(aroundCut+around) > 3*float64(othersCut)/float64(max(1, othersCut+others)) {
			result = broken
		}
	}
	return result, nil
}
