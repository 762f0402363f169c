// Command standin runs the cases of the second independent review. Each case starts the programs of the
// deploy file as processes of their own on loopback addresses; clients, backends, the operator and the links
// between them are stand-ins within this program.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The commands of the deploy file.
var commands = map[string][]string{
	"control-plane": {"target/controlplane", "--metrics-port", "19465"},
	"data-plane":    {"target/dataplane", "--metrics-port", "19464"},
}

// process is one role of a machine.
type process struct {
	name    string
	role    string
	file    string
	log     string
	root    string
	lock    sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

func (p *process) start() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	logs, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	line := commands[p.role]
	command := exec.Command(filepath.Join(p.root, line[0]), line[1:]...)
	command.Dir = p.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), word("settings") + "=" + p.file}
	command.Stdout, command.Stderr = logs, logs
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		command.Wait()
		close(ended)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command != nil {
		p.command.Process.Signal(s)
	}
}

// await waits for the end of the process, and reports whether it came in time.
func (p *process) await(limit time.Duration) bool {
	p.lock.Lock()
	ended := p.ended
	p.lock.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// machine has both roles and a disk.
type machine struct {
	ip      string
	zone    string
	control *process
	data    *process
}

func (m *machine) front() string     { return m.ip + ":8161" }
func (m *machine) readiness() string { return m.ip + ":8167" }
func (m *machine) controls() string  { return m.ip + ":8166" }

// fleet is a small deployment.
type fleet struct {
	folder   string
	root     string
	subnet   string
	machines []*machine
	started  time.Time

	lock   sync.Mutex
	record *os.File
}

// note writes a line of the record.
func (f *fleet) note(format string, args ...any) {
	f.lock.Lock()
	defer f.lock.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

var zones = []string{"zaal-a", "zaal-b", "zaal-c"}

// newFleet starts machines in as many zones.
func newFleet(root, recordFile string, count int) (*fleet, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "second-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, root: root, started: time.Now(), record: record}
	if err := f.chooseSubnet(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:8166", f.subnet, i+1)))
	}
	for i := range count {
		m := &machine{ip: fmt.Sprintf("%s.%d", f.subnet, i+1), zone: zones[i%len(zones)]}
		for _, role := range []string{"control-plane", "data-plane"} {
			name := fmt.Sprintf("m%d-%s", i+1, role)
			p := &process{name: name, role: role, root: root, file: filepath.Join(folder, name+".toml"), log: filepath.Join(folder, name+".log")}
			disk := filepath.Join(folder, name+"-disk")
			if err := os.Mkdir(disk, 0o700); err != nil {
				return nil, err
			}
			for _, first := range []bool{false, true} {
				text := fmt.Sprintf(text("settings.toml"), m.zone, i+1, role, m.ip, first, disk, strings.Join(seeds, ","))
				file := p.file
				if !first {
					file += ".later"
				}
				if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
					return nil, err
				}
			}
			if role == "control-plane" {
				m.control = p
			} else {
				m.data = p
			}
		}
		f.machines = append(f.machines, m)
	}
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) processes() (all []*process) {
	for _, m := range f.machines {
		all = append(all, m.control, m.data)
	}
	return all
}

// chooseSubnet looks for loopback addresses on which nothing listens.
func (f *fleet) chooseSubnet() error {
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d.%d", 30+rand.Intn(200), 1+rand.Intn(250))
		listener, err := net.Listen("tcp", f.subnet+".1:8166")
		if err == nil {
			return listener.Close()
		}
	}
	return errors.New("no free loopback addresses")
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, p := range f.processes() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.processes() {
		p.await(5 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Fprintln(os.Stderr, f.folder)
	}
	f.record.Close()
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a call to one control address.
func post(address, path, base, body string) (int, string) {
	request, err := http.NewRequest("POST", "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	if base != "" {
		request.Header.Set(word("base"), base)
	}
	client := *controlClient
	if base != "" {
		client.Timeout = 6 * time.Second
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	return response.StatusCode, string(bytes.TrimSpace(text))
}

// endFirstStart has the settings files say that this is no longer the first start.
func (f *fleet) endFirstStart() error {
	for _, p := range f.processes() {
		if err := os.Rename(p.file+".later", p.file); err != nil {
			return err
		}
	}
	return nil
}

// call sends a call to the control machines in turn until one gives a final answer.
func (f *fleet) call(path, base, body string, limit time.Duration) (status int, machine string) {
	first := rand.Intn(len(f.machines))
	for i, until := 0, time.Now().Add(limit); time.Now().Before(until); i++ {
		m := f.machines[(first+i)%len(f.machines)]
		if status, _ = post(m.controls(), path, base, body); status != 0 && status < 500 && status != 408 && status != 429 {
			return status, m.ip
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, ""
}

// awaitReady waits until every machine says that it is ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			response, err := controlClient.Get("http://" + m.readiness() + "/-/readiness")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(f.machines) {
			return nil
		}
	}
	return errors.New("the machines aren't ready")
}
