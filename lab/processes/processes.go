// Package processes starts real finchspoke and finchlab processes on loopback,
// for integration tests and measurements. It ends only what it started.
package processes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/machinelist"
)

// Cluster is a set of processes built from the programs in a directory.
type Cluster struct {
	Directory string // of the built programs

	mutex   sync.Mutex
	running []*Process
}

// Process is one process.
type Process struct {
	Name    string
	Address string // first line of a stand-in's output; empty for a daemon
	command *exec.Cmd
	output  *logBuffer
	ended   chan struct{}
}

// logBuffer keeps the last output of a process for failure reports.
type logBuffer struct {
	mutex sync.Mutex
	data  bytes.Buffer
}

const maxLogBytes = 4 << 20

// Write implements io.Writer.
func (l *logBuffer) Write(data []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.data.Len() < maxLogBytes {
		_, _ = l.data.Write(data) // a bytes.Buffer takes every write
	}
	return len(data), nil
}

// Build builds the programs into a directory.
func Build(ctx context.Context, moduleRoot, directory string) error {
	build := exec.CommandContext(ctx, "go", "build", "-o", directory+string(filepath.Separator), "./cmd/...")
	build.Dir = moduleRoot
	output, err := build.CombinedOutput()
	return errors.Wrapf(err, "go build: %s", output)
}

// start starts a program; with address set its first line of output is awaited.
func (c *Cluster) start(name, program string, address bool, arguments ...string) (*Process, error) {
	started := &Process{Name: name, command: exec.Command(filepath.Join(c.Directory, program), arguments...),
		output: &logBuffer{}, ended: make(chan struct{})}
	started.command.Stderr = started.output
	stdout, err := started.command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "connect output")
	}
	if err := started.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	c.mutex.Lock()
	c.running = append(c.running, started)
	c.mutex.Unlock()
	reader := bufio.NewReader(stdout)
	if address {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, errors.Wrapf(err, "%s gave no address: %s", name, started.Output())
		}
		started.Address = strings.TrimSpace(line)
	}
	go func() {
		_, _ = reader.WriteTo(started.output) // until the process ends
		_ = started.command.Wait()
		close(started.ended)
	}()
	return started, nil
}

// Standin starts a stand-in and waits for its address.
func (c *Cluster) Standin(kind string, arguments ...string) (*Process, error) {
	return c.start(kind, "finchlab", true, append([]string{"standin", kind}, arguments...)...)
}

// Daemon is a daemon process with its addresses.
type Daemon struct {
	*Process
	Gateway string
	RPC     string
	Admin   string
}

const (
	daemonStart = 10 * time.Second
	pollPause   = 10 * time.Millisecond
)

// startedLine is the log line that names a daemon's addresses.
type startedLine struct {
	Message string `json:"message"`
	Gateway string `json:"gateway"`
	RPC     string `json:"rpc"`
	Admin   string `json:"admin"`
}

// Daemon starts a daemon on free ports and waits until it listens.
func (c *Cluster) Daemon(id string, arguments ...string) (*Daemon, error) {
	arguments = append([]string{"serve", "--id", id, "--listen-gateway", "127.0.0.1:0", "--listen-rpc", "127.0.0.1:0",
		"--listen-gossip", "127.0.0.1:0", "--listen-admin", "127.0.0.1:0"}, arguments...)
	started, err := c.start(id, "finchspoke", false, arguments...)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(daemonStart); time.Now().Before(deadline); time.Sleep(pollPause) {
		for _, line := range strings.Split(started.Output(), "\n") {
			var told startedLine
			if json.Unmarshal([]byte(line), &told) == nil && told.Message == "daemon started" {
				return &Daemon{Process: started, Gateway: told.Gateway, RPC: told.RPC, Admin: told.Admin}, nil
			}
		}
		if started.HasExited() {
			break
		}
	}
	return nil, errors.Errorf("daemon %s did not start: %s", id, started.Output())
}

// Log returns what the process has written.
func (p *Process) Output() string {
	p.output.mutex.Lock()
	defer p.output.mutex.Unlock()
	return p.output.data.String()
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.Name)
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // it may have ended
	<-p.ended
}

// Ended tells whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Wait waits for the process to end and returns its exit code.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.ended:
		return p.command.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "%s still runs", p.Name)
	}
}

// Stop kills all processes that were started.
func (c *Cluster) Stop() {
	c.mutex.Lock()
	running := c.running
	c.mutex.Unlock()
	for _, process := range running {
		process.Kill()
	}
}

// PostJSON posts a message to a stand-in's control interface.
func PostJSON(ctx context.Context, address, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return errors.Wrap(err, "post")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered status %d", path, response.StatusCode)
	}
	return nil
}

// History reads a stand-in's history into entries, a pointer to a slice.
func ReadHistory(ctx context.Context, address string, entries any) error {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/history", nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return errors.Wrap(err, "read history")
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(entries), "read history")
}

// AddMachine lists an engine's machine.
func AddMachine(ctx context.Context, listAddress string, machine machinelist.Machine) error {
	return PostJSON(ctx, listAddress, machinelist.Path, machine)
}

// Apply puts a settings tree in force through a daemon.
func ApplySettings(ctx context.Context, admin string, base uint64, text string) (uint64, error) {
	var accepted adminapi.Revision
	err := adminapi.Client{Address: admin}.Post(ctx, adminapi.PathSettingsApply, adminapi.ApplyRequest{
		BaseRevision: base, OperationID: uuid.NewString(), Author: "lab", YAML: text}, &accepted)
	return accepted.Number, err
}

// WaitReady waits until a daemon is ready with a revision and knows a number of
// running members.
func WaitReady(ctx context.Context, admin string, revision uint64, members int) error {
	for {
		var status adminapi.Status
		err := adminapi.Client{Address: admin}.Get(ctx, adminapi.PathStatus, &status)
		running := 0
		for _, member := range status.Members {
			if member.Status == "alive" {
				running++
			}
		}
		if err == nil && status.Ready && status.SettingsRevision >= revision && running == members {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "daemon at %s is not ready: %d of %d members, revision %d", admin, running, members, status.SettingsRevision)
		case <-time.After(pollPause):
		}
	}
}

// Usage is what a process has used so far.
type Usage struct {
	CPU           time.Duration
	ResidentBytes uint64
}

// Usage reads the metrics of a daemon.
func (d *Daemon) Usage(ctx context.Context) (Usage, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Admin+"/metrics", nil)
	if err != nil {
		return Usage{}, errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return Usage{}, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = response.Body.Close() }()
	usage := Usage{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, text, found := strings.Cut(scanner.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if !found || err != nil {
			continue
		}
		switch name {
		case "process_cpu_seconds_total":
			usage.CPU = time.Duration(value * float64(time.Second))
		case "process_resident_memory_bytes":
			usage.ResidentBytes = uint64(value)
		}
	}
	return usage, errors.Wrap(scanner.Err(), "read metrics")
}
