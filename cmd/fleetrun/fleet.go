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

// process is a control process or a node of the fleet under test.
type process struct {
	name          string
	binary        string
	args          []string
	httpAddr      string
	operatorsAddr string
	logFile       string
	diskDir       string

	memberAddr string
	cmd        *exec.Cmd
	exited     chan struct{} // closed when the current run of the process has ended
	mu         sync.Mutex
}

// start starts the process unless it runs already; its output is appended to its log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited != nil {
		select {
		case <-p.exited:
		default:
			return nil
		}
	}
	output, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.binary, p.args...)
	p.cmd.Stderr, p.cmd.Stdout = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		cmd.Wait()
		output.Close()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// terminate asks the process to end, kills it after timeout, and reports whether it ended by itself.
func (p *process) terminate(timeout time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		p.kill()
		return false
	}
}

// fleet is a running deployment with its clients and backends.
type fleet struct {
	deployment *deployment
	controls   []*process
	nodes      []*process
	backends   []*backend
	executions *executionLog
	balancer   *loadBalancer
	load       *loadGenerator
	mu         sync.Mutex // held by whoever changes the desired state
	generation uint64     // version of the desired state that was acknowledged last
	runDir     string
	binDir     string
	nextBinDir string // folder of the other build, for the faults upgrade and roll-back

	clockStartMs int64
	clockScale   int64

	catchUpTime       time.Duration // time that a new or restarted control process has to catch up
	replacements      int           // control processes that were started in the place of another
	newControlProcess func(i int, seeds []string) *process
}

func newFleet(spec *deployment, binDir, runDir string, skew float64, clockScale int64, catchUpTime time.Duration, executions *executionLog) *fleet {
	f := &fleet{catchUpTime: catchUpTime, deployment: spec, executions: executions, runDir: runDir, binDir: binDir, clockScale: clockScale, clockStartMs: time.Now().UnixMilli()}
	var clockFlags []string
	if clockScale > 0 {
		clockFlags = []string{"--clock-scale", fmt.Sprint(clockScale), "--clock-from-ms", fmt.Sprint(f.clockStartMs)}
	}
	var seeds, founders []string
	for i := 0; i < 3; i++ {
		seeds = append(seeds, spec.controlAddr(i, 7000))
	}
	founders = seeds
	f.newControlProcess = func(i int, seeds []string) *process {
		name := fmt.Sprintf("%s-control-%d", spec.name, i)
		return &process{name: name, binary: filepath.Join(binDir, "controlplane"), httpAddr: spec.controlAddr(i, 8000), operatorsAddr: spec.controlAddr(i, 9000), logFile: filepath.Join(runDir, name+".log"), diskDir: filepath.Join(runDir, name), memberAddr: spec.controlAddr(i, 7000),
			args: append([]string{"--name", name, "--cell", spec.cellOf(i), "--address", spec.controlAddr(i, 7000), "--http", spec.controlAddr(i, 8000), "--operators", spec.controlAddr(i, 9000), "--data", filepath.Join(runDir, name), "--ring-file-mb", "2", "--voter-replace-ms", fmt.Sprint((catchUpTime / 4).Milliseconds()), "--seeds"}, append(append([]string{}, seeds...), append(append([]string{"--founders"}, founders...), clockFlags...)...)...)}
	}
	for i := 0; i < spec.controlCount; i++ {
		f.controls = append(f.controls, f.newControlProcess(i, seeds))
	}
	for i := 0; i < spec.dataCount; i++ {
		name := fmt.Sprintf("%s-data-%d", spec.name, i)
		f.nodes = append(f.nodes, &process{name: name, binary: filepath.Join(binDir, "dataplane"), httpAddr: spec.dataAddr(i, 8000), operatorsAddr: spec.dataAddr(i, 9000), logFile: filepath.Join(runDir, name+".log"),
			args: append([]string{"--name", name, "--cell", spec.cellOf(i), "--address", spec.dataAddr(i, 7000), "--http", spec.dataAddr(i, 8000), "--operators", spec.dataAddr(i, 9000), "--seeds"}, seeds...)})
	}
	backendIndex := 0
	for serviceIndex, service := range spec.services {
		for i := 0; i < service.backends; i++ {
			// Every fourth backend sends its cell and incarnation and answers identity probes.
			instance := &backend{deployment: spec, service: service.name, address: spec.backendAddr(serviceIndex, i), cell: spec.cellOf(backendIndex), slots: service.slots, maxConnections: service.maxConnections, executions: executions, announceAddrs: f.announceAddrs, announcesIncarnation: backendIndex%4 == 3}
			backendIndex++
			meanTime := 0.0
			totalRate := 0.0
			for _, lane := range spec.lanes {
				if strings.Contains(spec.desired, fmt.Sprintf(`"%s": {"tenant": "%s", "service": "%s"`, lane.name, strings.Join(strings.Split(lane.name, "-")[:strings.Count(lane.name, "-")], "-"), service.name)) {
					meanTime += lane.requestsPerSecond * float64(lane.serviceTime)
					totalRate += lane.requestsPerSecond
				}
			}
			meanTime /= totalRate
			instance.drawServiceTime = func() time.Duration { return time.Duration(meanTime * (0.5 + rand.Float64())) }
			f.backends = append(f.backends, instance)
		}
	}
	f.balancer = newLoadBalancer(spec, skew, func() []string {
		var addresses []string
		for _, node := range f.nodes {
			addresses = append(addresses, node.httpAddr)
		}
		return addresses
	})
	f.load = &loadGenerator{deployment: spec, balancer: f.balancer, executions: executions, rateScale: 1, maxRefusalTime: 300 * time.Millisecond, tally: &tally{counts: map[string]int{}, reasons: map[string]int{}, laneCounts: map[string][2]int{}}}
	return f
}

// announceAddrs returns the addresses that accept announcements of backends.
func (f *fleet) announceAddrs() []string {
	var addresses []string
	for _, control := range f.controls {
		addresses = append(addresses, control.httpAddr)
	}
	for _, node := range f.nodes {
		addresses = append(addresses, node.httpAddr)
	}
	return addresses
}

func (output *fleet) start() error {
	for _, p := range append(append([]*process{}, output.controls...), output.nodes...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, b := range output.backends {
		if err := b.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) stop() {
	var wg sync.WaitGroup
	for _, p := range append(append([]*process{}, f.nodes...), f.controls...) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.signal(syscall.SIGCONT)
			p.kill()
		}()
	}
	wg.Wait()
	for _, b := range f.backends {
		b.crash()
	}
}

// sendChange sends a change of the desired state to one control process, once.
func (f *fleet) sendChange(ctx context.Context, method, document string, base uint64, changeID string, controlIndex int) (int, map[string]any, error) {
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+f.controls[controlIndex%len(f.controls)].operatorsAddr+"/desired", bytes.NewReader([]byte(document)))
	req.Header.Set("If-Match", fmt.Sprint(base))
	req.Header.Set("Sloeturn-Change-Id", changeID)
	client := http.Client{Timeout: 20 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	answer := map[string]any{}
	json.Unmarshal(body, &answer)
	return resp.StatusCode, answer, nil
}

// applyChange sends a change to one control process after another until it is acknowledged, and stops
// early when it is refused as invalid (422) or conflicting (412).
func (f *fleet) applyChange(ctx context.Context, method, document, changeID string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lastErr error
	for i := 0; ctx.Err() == nil; i++ {
		status, answer, err := f.sendChange(ctx, method, document, f.generation, changeID, i)
		if err == nil && status == 200 {
			f.generation = uint64(answer["generation"].(float64))
			f.load.acknowledgedGeneration.Store(f.generation)
			return nil
		}
		lastErr = fmt.Errorf("status %d: %v %v", status, answer, err)
		if status == 422 || status == 412 {
			return lastErr
		}
		time.Sleep(100 * time.Millisecond)
	}
	return lastErr
}

// awaitReady waits until n nodes are ready.
func (f *fleet) awaitReady(ctx context.Context, n int) error {
	for ctx.Err() == nil {
		if f.balancer.readyCount() >= n {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%d of %d nodes became ready", f.balancer.readyCount(), n)
}

// fleetStatus returns the status of the fleet as seen by the first control process that knows a leader.
func (f *fleet) fleetStatus() (map[string]any, error) {
	client := http.Client{Timeout: 2 * time.Second}
	for _, p := range f.controls {
		resp, err := client.Get("http://" + p.operatorsAddr + "/fleet")
		if err != nil {
			continue
		}
		var status map[string]any
		err = json.NewDecoder(resp.Body).Decode(&status)
		resp.Body.Close()
		if err == nil && status["leader"] != "" {
			return status, nil
		}
	}
	return nil, fmt.Errorf("no control process answers")
}
