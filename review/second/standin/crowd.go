package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	bookings     = 12
	bookingBytes = 60000
	// bookingTime is how long a client takes to send its body, 46 KB/s.
	bookingTime = 1300 * time.Millisecond
	bookingWork = 7 * time.Second
	crowdSize   = 295
	crowdBytes  = 40000
	crowdTime   = 1800 * time.Millisecond
	// latecomers connect while the crowd still sends.
	latecomers = 60
)

// sendEvenly sends a request with a body, spread evenly over a time.
func sendEvenly(connection net.Conn, id, path string, size int, over time.Duration) error {
	const pieces = 26
	if _, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: ficu95.example\r\n%s%sContent-Length: %d\r\n\r\n", path, line("id", id), line("left", "15000"), size); err != nil {
		return err
	}
	body := make([]byte, size)
	for i := range pieces {
		if _, err := connection.Write(body[size*i/pieces : size*(i+1)/pieces]); err != nil {
			return err
		}
		time.Sleep(over / pieces)
	}
	return nil
}

// crowd: LOST. Many clients connect to a machine while backends work on requests whose bodies came slowly.
func crowd(f *fleet, trouble bool) (int, error) {
	var backends []*backend
	err := startSmall(f, text("long.json"), func(b *backend) {
		b.work = bookingWork
		backends = append(backends, b)
	})
	if err != nil {
		return 0, err
	}
	front := f.machines[0].front()
	var lock sync.Mutex
	lost := 0
	var clients sync.WaitGroup
	for i := range bookings {
		clients.Go(func() {
			id := fmt.Sprintf("booking-%d-%x", i, rand.Uint32())
			connection, err := net.Dial("tcp", front)
			if err != nil {
				return
			}
			defer connection.Close()
			connection.SetDeadline(time.Now().Add(20 * time.Second))
			reader := bufio.NewReader(connection)
			fmt.Fprintf(connection, "GET /none/ HTTP/1.1\r\nHost: ficu95.example\r\n%s%s\r\n", line("id", "first-"+id), line("left", "1000"))
			first, err := http.ReadResponse(reader, nil)
			if err != nil || first.Close {
				f.note("client of %s has no kept connection", id)
				return
			}
			io.Copy(io.Discard, first.Body)
			f.note("client sends %s on a kept connection, %d bytes in %.1f s, time left 15000", id, bookingBytes, bookingTime.Seconds())
			if err := sendEvenly(connection, id, "/pufi791/2f", bookingBytes, bookingTime); err != nil {
				f.note("client of %s: the body can't be sent: %v", id, err)
				return
			}
			sent := time.Now()
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				f.note("client of %s: answer %d", id, response.StatusCode)
				return
			}
			ran := 0
			for _, b := range backends {
				ran += len(b.runsOf(id))
			}
			f.note("client of %s: no answer, %v, %.1f s after its last byte; backends that run it: %d", id, err, time.Since(sent).Seconds(), ran)
			lock.Lock()
			defer lock.Unlock()
			if ran > 0 {
				lost++
			}
		})
	}
	time.Sleep(bookingTime + 300*time.Millisecond)
	if trouble {
		f.note("%d more clients connect to %s and send their requests, then %d more", crowdSize, front, latecomers)
		join := func(id string) {
			clients.Go(func() {
				connection, err := net.Dial("tcp", front)
				if err != nil {
					return
				}
				defer connection.Close()
				connection.SetDeadline(time.Now().Add(16 * time.Second))
				if sendEvenly(connection, id, "/pufi791/c", crowdBytes, crowdTime) == nil {
					http.ReadResponse(bufio.NewReader(connection), nil)
				}
			})
		}
		for i := range crowdSize {
			join(fmt.Sprintf("crowd-%d-%x", i, rand.Uint32()))
		}
		time.Sleep(600 * time.Millisecond)
		for i := range latecomers {
			join(fmt.Sprintf("late-%d-%x", i, rand.Uint32()))
			time.Sleep(10 * time.Millisecond)
		}
	}
	clients.Wait()
	f.note("%d of %d requests were passed on and had their connection closed without an answer; allowed are 3", lost, bookings)
	if lost > 3 {
		return broken, nil
	}
	return held, nil
}
