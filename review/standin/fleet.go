// Program standin is the platform's side of a small deployment for the review's cases: it starts the
// daemons with the commands of the deploy file on loopback addresses, and stands in for backends,
// clients and the operator. Its argument names the case.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloeturn/platform"
)

var zones = []string{"zaal-a", "zaal-b", "zaal-c"}

// cores is how many machines, the first, have a disk and run a control process.
const cores = 3

// process is one daemon of a machine.
type process struct {
	fleet   *fleet
	machine int
	control bool
	first   bool
	command *exec.Cmd
	ended   chan struct{}
}

type fleet struct {
	net       string
	dir       string
	root      string
	record    *os.File
	start     time.Time
	lock      sync.Mutex
	nodes     []*process
	cores     []*process
	ends      []func()
	broken    []string
	operators *http.Client
}

// newFleet makes room for a fleet in a temporary folder; the record goes to a file of the case's folder.
func newFleet(record string) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "sloeturn-review-")
	if err != nil {
		return nil, err
	}
	out, err := os.OpenFile(record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := &fleet{net: fmt.Sprintf("127.%d.%d", 30+pid%190, 1+pid/190%250), dir: dir, root: root, record: out, start: time.Now()}
	f.operators = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return f, nil
}

// says writes a line of what happened to the record.
func (f *fleet) says(form string, args ...any) {
	f.lock.Lock()
	defer f.lock.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(form, args...))
}

// breaks notes that the rule was broken.
func (f *fleet) breaks(form string, args ...any) {
	f.says("BROKEN: "+form, args...)
	f.lock.Lock()
	f.broken = append(f.broken, fmt.Sprintf(form, args...))
	f.lock.Unlock()
}

func (f *fleet) address(machine int) string { return fmt.Sprintf("%s.%d", f.net, machine) }

func (f *fleet) control(machine int) string { return f.address(machine) + ":8166" }

func (f *fleet) front(machine int) string { return f.address(machine) + ":8161" }

func (f *fleet) name(p *process) string {
	return map[bool]string{true: "control", false: "data"}[p.control] + fmt.Sprint(p.machine)
}

func (p *process) settings() string {
	f := p.fleet
	var seeds []string
	for i := 1; i <= cores; i++ {
		seeds = append(seeds, fmt.Sprintf("%q", f.control(i)))
	}
	disk, role := "", "data-plane"
	if p.control {
		role = "control-plane"
		disk = fmt.Sprintf(word("disk"), filepath.Join(f.dir, f.name(p)))
	}
	serves := word("edge alone")
	if p.machine <= cores {
		serves = word("edge and control")
	}
	return fmt.Sprintf(text("settings.toml"), zones[(p.machine-1)%len(zones)], p.machine, role, serves, f.address(p.machine), p.machine <= cores, p.first, disk, strings.Join(seeds, ","))
}

// begin starts a process as the deploy file says; its log goes to a file.
func (p *process) begin() error {
	f := p.fleet
	file := filepath.Join(f.dir, f.name(p)+".toml")
	if err := os.WriteFile(file, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	if p.control {
		if err := os.MkdirAll(filepath.Join(f.dir, f.name(p)), 0o700); err != nil {
			return err
		}
	}
	logs, err := os.OpenFile(filepath.Join(f.dir, f.name(p)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	words := []string{"target/dataplane", "--metrics-port", "19464"}
	if p.control {
		words = []string{"target/controlplane", "--metrics-port", "19465"}
	}
	p.command = exec.Command(filepath.Join(f.root, words[0]), words[1:]...)
	p.command.Dir = f.root
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.FileVariable + "=" + file}
	p.command.Stdout, p.command.Stderr = logs, logs
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.first = false
	p.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		err := c.Wait()
		f.says("%s ended: %v", f.name(p), err)
		close(ended)
	}(p.command, p.ended)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.fleet.says("%s gets %v", p.fleet.name(p), s)
	p.command.Process.Signal(s)
}

// open starts all processes and waits until each node says that it is ready.
func (f *fleet) open(machines int, configuration string) error {
	for i := 1; i <= machines; i++ {
		if i <= cores {
			f.cores = append(f.cores, &process{fleet: f, machine: i, control: true, first: true})
		}
		f.nodes = append(f.nodes, &process{fleet: f, machine: i, first: true})
	}
	for _, p := range append(append([]*process{}, f.cores...), f.nodes...) {
		if err := p.begin(); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for at := 1; ; at = at%cores + 1 {
		status, _ := f.order(at, word("replace"), 0, configuration)
		if status == 200 {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("the first configuration was not acknowledged")
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, p := range f.nodes {
		for !f.ready(p.machine) {
			if time.Now().After(end) {
				return fmt.Errorf("node %d is not ready", p.machine)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.says("all nodes are ready")
	return nil
}

func (f *fleet) ready(machine int) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + f.address(machine) + ":8167/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// order sends a configuration to a control process; status 0 is no answer.
func (f *fleet) order(machine int, path string, base uint64, body string) (int, string) {
	req, err := http.NewRequest("POST", "http://"+f.control(machine)+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set(word("base"), fmt.Sprint(base))
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.operators.Do(req)
	if err != nil {
		f.says("operator: %s at control%d: %v", path, machine, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	f.says("operator: %s on %d at control%d: %d %s", path, base, machine, resp.StatusCode, bytes.TrimSpace(text))
	return resp.StatusCode, string(text)
}

// close ends every process and gives the exit code of the case.
func (f *fleet) close(err error) int {
	for _, p := range append(append([]*process{}, f.nodes...), f.cores...) {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		p.command.Process.Kill()
		<-p.ended
	}
	for _, end := range f.ends {
		end()
	}
	code := 0
	switch {
	case err != nil:
		f.says("the case could not run: %v", err)
		code = 2
	case len(f.broken) > 0:
		code = 1
	}
	f.says("exit code %d", code)
	f.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
	return code
}

// listen opens a port of a loopback address of this fleet.
func (f *fleet) listen(host int) (net.Listener, error) {
	ear, err := net.Listen("tcp", fmt.Sprintf("%s:0", f.address(host)))
	if err == nil {
		f.ends = append(f.ends, func() { ear.Close() })
	}
	return ear, err
}
