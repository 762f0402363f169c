package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a backend has run.
type run struct {
	id     string
	at     time.Time
	sum    string
	length int64
}

// backend is a sound server: it reads a request whole, waits for a slot, works on it and answers.
type backend struct {
	f       *fleet
	id      string
	service string
	zone    string
	slots   chan struct{}
	// address is the one that it tells, that of its link.
	address  string
	listener net.Listener
	work     time.Duration
	sequence atomic.Uint64
	state    atomic.Pointer[string]
	silent   atomic.Bool
	ended    chan struct{}

	lock sync.Mutex
	runs []run
	// quiet keeps its runs out of the record.
	quiet bool
	// answerBytes, if set, gives the length of the answer to a path.
	answerBytes func(path string) int
}

func newBackend(f *fleet, id, service, zone, address string, slots int) (*backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &backend{f: f, id: id, service: service, zone: zone, slots: make(chan struct{}, slots), address: listener.Addr().String(), listener: listener, work: 20 * time.Millisecond, ended: make(chan struct{})}
	available := "available"
	b.state.Store(&available)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(connection)
		}
	}()
	return b, nil
}

// end closes the backend as its process would.
func (b *backend) end() {
	close(b.ended)
	b.listener.Close()
}

func (b *backend) beatBody(sequence uint64, state string) string {
	return fmt.Sprintf(text("beat.json"), b.service, b.address, b.zone, cap(b.slots), state, sequence)
}

// beat sends beats until the backend ends or is silent.
func (b *backend) beat() {
	for {
		if !b.silent.Load() {
			b.f.call(word("beat")+b.id, "", b.beatBody(b.sequence.Add(1), *b.state.Load()), time.Second)
		}
		select {
		case <-b.ended:
			return
		case <-time.After(1300 * time.Millisecond):
		}
	}
}

func (b *backend) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		read := time.Now()
		answer := func(status int, headers, body string) bool {
			_, err := fmt.Fprintf(connection, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
			return err == nil
		}
		if request.URL.Path == "/health" {
			if !answer(200, line("instance", b.id), "") {
				return
			}
			continue
		}
		id := request.Header.Get(word("id"))
		own := line("id", id)
		if target := request.Header.Get(word("target")); target != "" && target != b.id {
			answer(421, own+line("not run", "1")+"Connection: close\r\n", "")
			return
		}
		hash := sha256.New()
		length, err := io.Copy(hash, request.Body)
		if err != nil {
			b.f.note("backend %s: the body of %s broke off after %d bytes; it isn't run (%v)", b.id, id, length, err)
			return
		}
		b.slots <- struct{}{}
		left, err := strconv.Atoi(request.Header.Get(word("left")))
		if err == nil && time.Since(read) > time.Duration(left)*time.Millisecond {
			<-b.slots
			if !answer(503, own+line("not run", "1"), "") {
				return
			}
			continue
		}
		sum := hex.EncodeToString(hash.Sum(nil))
		b.lock.Lock()
		b.runs = append(b.runs, run{id, time.Now(), sum, length})
		b.lock.Unlock()
		if !b.quiet {
			b.f.note("backend %s runs %s: %s %s, %d bytes of body, sha256 %.16s", b.id, id, request.Method, request.RequestURI, length, sum)
		}
		time.Sleep(b.work)
		<-b.slots
		bytes := 40
		if b.answerBytes != nil {
			bytes = b.answerBytes(request.URL.Path)
		}
		if !b.write(connection, own, bytes) {
			return
		}
	}
}

// write writes a success of a length.
func (b *backend) write(connection net.Conn, headers string, length int) bool {
	if _, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", headers+line("seal", "seal-"+b.id), length); err != nil {
		return false
	}
	piece := make([]byte, 32<<10)
	for i := range piece {
		piece[i] = byte('a' + i%26)
	}
	for left := length; left > 0; {
		count, err := connection.Write(piece[:min(left, len(piece))])
		if left -= count; err != nil {
			return false
		}
	}
	return true
}

func (b *backend) runsOf(id string) (found []run) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, r := range b.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}
