// Package processes starts finchspoke and finchlab processes on loopback for integration tests and measurements.
// It only stops processes that it started.
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

// Cluster is a set of processes started from the programs in a directory.
type Cluster struct {
	Directory string // contains the finchspoke and finchlab programs

	mutex   sync.Mutex
	running []*Process
}

// Process is a started daemon or stand-in.
type Process struct {
	Name    string
	Address string // read from the first line of a stand-in's output; empty for a daemon
	command *exec.Cmd
	output  *logBuffer
	exited  chan struct{}
}

// logBuffer keeps up to maxLogBytes of a process's output, for failure reports.
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
		_, _ = l.data.Write(data) // never fails
	}
	return len(data), nil
}

// Build builds all programs of the module into a directory.
func Build(ctx context.Context, moduleRoot, directory string) error {
	build := exec.CommandContext(ctx, "go", "build", "-o", directory+string(filepath.Separator), "./cmd/...")
	build.Dir = moduleRoot
	output, err := build.CombinedOutput()
	return errors.Wrapf(err, "go build: %s", output)
}

// start starts a program. With readAddress it waits for the first output line and stores it as the address.
func (c *Cluster) start(name, program string, readAddress bool, arguments ...string) (*Process, error) {
	process := &Process{Name: name, command: exec.Command(filepath.Join(c.Directory, program), arguments...),
		output: &logBuffer{}, exited: make(chan struct{})}
	process.command.Stderr = process.output
	stdout, err := process.command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "create output pipe")
	}
	if err := process.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	c.mutex.Lock()
	c.running = append(c.running, process)
	c.mutex.Unlock()
	reader := bufio.NewReader(stdout)
	if readAddress {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, errors.Wrapf(err, "%s printed no address: %s", name, process.Output())
		}
		process.Address = strings.TrimSpace(line)
	}
	go func() {
		_, _ = reader.WriteTo(process.output) // until the process exits
		_ = process.command.Wait()
		close(process.exited)
	}()
	return process, nil
}

// Standin starts a stand-in of a kind and waits until it has printed its address.
func (c *Cluster) Standin(kind string, arguments ...string) (*Process, error) {
	return c.start(kind, "finchlab", true, append([]string{"standin", kind}, arguments...)...)
}

// Daemon is a daemon process and its addresses.
type Daemon struct {
	*Process
	Gateway string
	RPC     string
	Admin   string
}

const (
	daemonStartTimeout = 10 * time.Second
	pollInterval       = 10 * time.Millisecond
)

// startedEntry is the log entry in which a daemon reports its addresses.
type startedEntry struct {
	Message string `json:"message"`
	Gateway string `json:"gateway"`
	RPC     string `json:"rpc"`
	Admin   string `json:"admin"`
}

// Daemon starts a daemon on free ports and waits until it has logged its addresses.
func (c *Cluster) Daemon(id string, arguments ...string) (*Daemon, error) {
	arguments = append([]string{"serve", "--id", id, "--listen-gateway", "127.0.0.1:0", "--listen-rpc", "127.0.0.1:0",
		"--listen-gossip", "127.0.0.1:0", "--listen-admin", "127.0.0.1:0"}, arguments...)
	process, err := c.start(id, "finchspoke", false, arguments...)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(daemonStartTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		for _, line := range strings.Split(process.Output(), "\n") {
			var entry startedEntry
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "daemon started" {
				return &Daemon{Process: process, Gateway: entry.Gateway, RPC: entry.RPC, Admin: entry.Admin}, nil
			}
		}
		if process.HasExited() {
			break
		}
	}
	return nil, errors.Errorf("daemon %s did not start: %s", id, process.Output())
}

// Output returns what the process has written to standard output and standard error.
func (p *Process) Output() string {
	p.output.mutex.Lock()
	defer p.output.mutex.Unlock()
	return p.output.data.String()
}

// Signal sends a signal to the process, without waiting for its effect.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.Name)
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // the process may have exited already
	<-p.exited
}

// HasExited reports whether the process has exited.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Wait waits for the process to exit and returns its exit code.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "%s is still running", p.Name)
	}
}

// Stop kills all processes of the cluster.
func (c *Cluster) Stop() {
	c.mutex.Lock()
	running := c.running
	c.mutex.Unlock()
	for _, process := range running {
		process.Kill()
	}
}

// PostJSON posts a message to the control API of a stand-in.
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
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s returned status %d", path, response.StatusCode)
	}
	return nil
}

// ReadHistory decodes a stand-in's history into entries, a pointer to a slice.
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

// AddMachine adds a machine to the machine list stand-in.
func AddMachine(ctx context.Context, listAddress string, machine machinelist.Machine) error {
	return PostJSON(ctx, listAddress, machinelist.Path, machine)
}

// ApplySettings submits a settings tree, based on revision base, to a daemon and returns the accepted revision.
func ApplySettings(ctx context.Context, admin string, base uint64, text string) (uint64, error) {
	var accepted adminapi.Revision
	err := adminapi.Client{Address: admin}.Post(ctx, adminapi.PathSettingsApply, adminapi.ApplyRequest{
		BaseRevision: base, OperationID: uuid.NewString(), Author: "lab", YAML: text}, &accepted)
	return accepted.Number, err
}

// WaitReady waits until a daemon is ready, has at least the settings revision and lists exactly members as alive.
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
		case <-time.After(pollInterval):
		}
	}
}

// Usage is the CPU time and memory of a process.
type Usage struct {
	CPU           time.Duration
	ResidentBytes uint64
}

// Usage reads the daemon's CPU time and resident memory from its metrics.
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
