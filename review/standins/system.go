package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/finchspoke/finchspoke/platform/standin"
)

// record writes what happens to a file, a line each.
type record struct {
	mutex sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now()}, err
}

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

// daemon is a process of the deploy file's command.
type daemon struct {
	name, front, ready string
	settings           string // path
	log                *os.File
	command            *exec.Cmd
	exited             chan struct{}
}

// platform is the store with the addresses at which daemons reach it.
type platform struct {
	store     *standin.Store
	directory string
	daemons   []*daemon
}

func newPlatform(directory string) *platform {
	return &platform{store: standin.NewStore(), directory: directory}
}

// daemonPorts are the ports of a daemon on its address; the last one is that of the deploy file's command.
var daemonPorts = []int{8149, 8141, 8144, 9464}

// freeNetwork returns the first three numbers of a loopback network in which the ports of some daemons are free.
func freeNetwork(daemons int) (string, error) {
	for attempt := range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+attempt)%200, 1+(os.Getpid()/7+attempt)%250)
		if isFree(network, daemons) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no loopback network with free ports")
}

func isFree(network string, daemons int) bool {
	for number := range daemons {
		for _, port := range daemonPorts {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, number+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// addDaemons writes the settings of daemons in one zone; their figures are those of a small deployment.
func (p *platform) addDaemons(count int) error {
	network, err := freeNetwork(count)
	if err != nil {
		return err
	}
	var seeds []string
	for number := range count {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8144", network, number+1))
	}
	for number := range count {
		ip := fmt.Sprintf("%s.%d", network, number+1)
		d := &daemon{name: fmt.Sprintf("front-%d", number+1), front: ip + ":8149", ready: ip + ":8141"}
		d.settings = filepath.Join(p.directory, d.name+".json")
		data, err := json.Marshal(map[string]any{
			"nodeName": d.name, "role": "node", "machineClass": "front", "serves": []string{"front", "control"}, "ip": ip,
			"zone": "zone-1", "region": "region-1", "zones": map[string]string{"zone-1": "region-1"},
			"listen": map[string]string{"front": d.front, "ready": d.ready, "control": ip + ":8144"}, "portRange": []int{7380, 7395},
			"seeds": seeds, "bootstrap": true, "heartbeatMs": 1200,
			"limits":    map[string]any{"cpuShare": 0.4, "cpus": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0},
			"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
			"bounds": map[string]any{"touchMs": 3000, "drainMs": 2000, "graceS": 8, "lostMs": 200, "configMs": 2000, "budgetRatio": 0.2, "budgetWindowS": 10,
				"budgetSlack": 52, "recoverS": 12, "checksFence": true, "leaseMs": 3000, "thawMs": 300, "ceilingWindowS": 5, "ceilingOver": 1.1},
			"provider": map[string]any{"address": p.store.AddressFor(d.name), "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "minTtlMs": 1000},
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(d.settings, data, 0o600); err != nil {
			return err
		}
		if d.log, err = os.Create(filepath.Join(p.directory, d.name+".log")); err != nil {
			return err
		}
		p.daemons = append(p.daemons, d)
	}
	return nil
}

// running holds the processes to end if this program is stopped.
var running struct {
	sync.Mutex
	processes map[*os.Process]bool
	stopped   bool
}

func setRunning(process *os.Process, runs bool) {
	running.Lock()
	defer running.Unlock()
	if running.processes == nil {
		running.processes = map[*os.Process]bool{}
	}
	if runs {
		running.processes[process] = true
		return
	}
	delete(running.processes, process)
}

// endRunning ends all processes, after which none starts.
func endRunning() {
	running.Lock()
	defer running.Unlock()
	running.stopped = true
	for process := range running.processes {
		_ = process.Kill()
	}
}

// start starts a daemon with the command of the deploy file.
func (d *daemon) start() error {
	running.Lock()
	stopped := running.stopped
	running.Unlock()
	if stopped {
		return fmt.Errorf("the script is being stopped")
	}
	d.command = exec.Command("target/finchspoke", "node", "--metrics-port", "9464")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FINCHSPOKE_CONFIG=" + d.settings}
	d.command.Stdout, d.command.Stderr = d.log, d.log
	if err := d.command.Start(); err != nil {
		return err
	}
	command, exited := d.command, make(chan struct{})
	d.exited = exited
	setRunning(command.Process, true)
	go func() {
		_ = command.Wait()
		setRunning(command.Process, false)
		close(exited)
	}()
	return nil
}

// kill ends a daemon's process without notice.
func (d *daemon) kill() {
	if d.exited == nil {
		return
	}
	_ = d.command.Process.Signal(syscall.SIGKILL)
	<-d.exited
}

// startAll starts all daemons and waits until they are ready.
func (p *platform) startAll() error {
	for _, d := range p.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range p.daemons {
		if !d.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready", d.name)
		}
	}
	return nil
}

func (d *daemon) awaitReady(timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + d.ready + "/finchspoke/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// stopAll ends all processes and the store.
func (p *platform) stopAll() {
	for _, d := range p.daemons {
		d.kill()
	}
	p.store.Close()
}

// register writes a replica's entry.
func (p *platform) register(id, service, address string, slots int) error {
	entry, err := json.Marshal(map[string]any{"service": service, "address": address, "zone": "zone-1", "version": "1", "slots": slots, "state": "ready", "coldLeftMs": 0, "callSeq": 1})
	if err != nil {
		return err
	}
	p.store.Put("servers/"+id, entry)
	return nil
}

const (
	host        = "desk.example"
	deskService = "desk"
	unsafePath  = "/approve/"
	safePath    = "/lookup/"
)

// configure writes the operator's configuration: one service, with an unsafe route, a safe one and one of streams.
func (p *platform) configure() error {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		route := map[string]any{"name": name, "hostname": host, "pathPrefix": prefix, "kind": kind, "service": deskService, "attempts": attempts, "timeoutMs": 1000, "targetMs": 150, "priority": 2}
		if kind == "stream" {
			route["timeoutMs"], route["targetMs"], route["gapTargetMs"] = 25000, 6000, 300
		}
		return route
	}
	value, err := json.Marshal(map[string]any{
		"version": 1, "routes": []any{route("approve", unsafePath, "unsafe", 1), route("lookup", safePath, "safe", 2), route("draft", draftPath, "stream", 1)},
		"services": []any{map[string]any{"name": deskService, "maxConns": 96}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 5000},
	})
	if err != nil {
		return err
	}
	p.store.Put("op/config", value)
	return nil
}

// answer is what a client got for a request.
type answer struct {
	id, front string
	sentAt    time.Time
	status    int // zero: no whole answer
	body      string
	signature string
	failed    string
}

// send sends a request on a new connection and returns its answer.
func send(method, front, path, id string, body string, deadline time.Duration) answer {
	result := answer{id: id, front: front, sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		result.failed = err.Error()
		return result
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	text := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\nConnection: close\r\n"
	if method != http.MethodGet {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := conn.Write([]byte(text + "\r\n" + body)); err != nil {
		result.failed = err.Error()
		return result
	}
	return readAnswer(conn, result)
}

// summary counts answers by status.
func summary(answers []answer) string {
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
	}
	var parts []string
	for _, status := range []int{200, 429, 500, 502, 503, 504, 0} {
		if counts[status] > 0 {
			parts = append(parts, fmt.Sprintf("%d: %d", status, counts[status]))
			delete(counts, status)
		}
	}
	for status, count := range counts {
		parts = append(parts, fmt.Sprintf("%d: %d", status, count))
	}
	return strings.Join(parts, ", ")
}
