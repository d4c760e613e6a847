package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// Ports of a daemon at its own loopback address; the metrics port is that of the deploy file.
const (
	frontPort   = 8149
	readyPort   = 8141
	controlPort = 8144
	metricsPort = 9464
)

const (
	program       = "target/finchspoke" // as deploy/system.toml builds and starts it
	heartbeat     = 1200 * time.Millisecond
	readyTimeout  = 20 * time.Second
	clientRetries = 1
)

// rig is one small deployment.
type rig struct {
	directory string
	record    *bufio.Writer
	file      *os.File
	mutex     sync.Mutex // of record
	started   time.Time
	trouble   bool
	store     *standin.Store
	history   *standin.History
	daemons   []*daemonProcess
	stopBeats chan struct{}
	client    *http.Client
}

// daemonProcess is a daemon of finchspoke.
type daemonProcess struct {
	name, ip, settings string
	command            *exec.Cmd
	log                *os.File
	exited             chan struct{}
}

func newRig(recordPath string) (*rig, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &rig{
		directory: directory, file: file, record: bufio.NewWriter(file), started: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		store: standin.NewStore(), history: standin.NewHistory(), stopBeats: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}, nil
}

// note writes a line to the record.
func (r *rig) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// summary writes a line to the record and to standard output.
func (r *rig) summary(format string, arguments ...any) {
	r.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// close ends all processes of the rig.
func (r *rig) close() {
	close(r.stopBeats)
	for _, d := range r.daemons {
		d.kill()
	}
	r.store.Close()
	if directory := os.Getenv("KEEP_LOGS"); directory != "" {
		for _, d := range r.daemons {
			if data, err := os.ReadFile(d.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(directory, d.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(r.directory)
	_ = r.record.Flush()
	_ = r.file.Close()
}

// freeNetwork returns the first three numbers of a loopback network whose addresses have free ports.
func freeNetwork(hosts int) (string, error) {
	for attempt := range 50 {
		number := os.Getpid() + attempt*7919
		network := fmt.Sprintf("127.%d.%d", 20+number%200, (number/200)%250)
		free := true
		for host := 1; host <= hosts && free; host++ {
			for _, port := range []int{frontPort, readyPort, controlPort, metricsPort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no loopback network has free ports")
}

// startDaemons starts a number of daemons, with bounds of the site file named in the claims, and waits until all are ready.
// storeOf returns the address of the store for a daemon.
func (r *rig) startDaemons(count int, checksFence bool, storeOf func(name string) string) error {
	network, err := freeNetwork(count)
	if err != nil {
		return err
	}
	var seeds []string
	for host := 1; host <= min(count, 3); host++ {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, host, controlPort))
	}
	for host := 1; host <= count; host++ {
		ip := fmt.Sprintf("%s.%d", network, host)
		d := &daemonProcess{name: fmt.Sprintf("front-colombo-a-%d", host), ip: ip}
		d.settings = filepath.Join(r.directory, d.name+".json")
		if err := writeSettings(d, seeds, checksFence, true, storeOf(d.name)); err != nil {
			return err
		}
		if d.log, err = os.Create(filepath.Join(r.directory, d.name+".log")); err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, d := range r.daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// From now on, processes start with settings that say that the system has run before.
	for _, d := range r.daemons {
		if err := writeSettings(d, seeds, checksFence, false, storeOf(d.name)); err != nil {
			return err
		}
	}
	return nil
}

func writeSettings(d *daemonProcess, seeds []string, checksFence, bootstrap bool, store string) error {
	address := func(port int) string { return net.JoinHostPort(d.ip, strconv.Itoa(port)) }
	settings, err := json.Marshal(map[string]any{
		"nodeName": d.name, "role": "node", "machineClass": "front", "serves": []string{"front", "control"}, "ip": d.ip, "zone": "zone-1", "region": "colombo",
		"zones":     map[string]string{"zone-1": "colombo"},
		"listen":    map[string]string{"front": address(frontPort), "ready": address(readyPort), "control": address(controlPort)},
		"portRange": []int{7380, 7395}, "seeds": seeds, "bootstrap": bootstrap, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cpus": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"tolerate":  map[string]any{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "touchMs": 3000, "ackMs": 4000, "catchupS": 4, "drainMs": 2000, "graceS": 8, "lostMs": 200, "configMs": 2000,
			"rollbackSlackMs": 250, "outerMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52, "recoverS": 12, "passMs": 120, "retryAfterS": 0,
			"checksFence": checksFence, "leaseMs": 3000, "thawMs": 300, "ceilingWindowS": 5, "ceilingOver": 1.1,
		},
		"provider": map[string]any{"address": store, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "minTtlMs": 1000},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, settings, 0o600)
}

// start starts the daemon with the command of the deploy file. It ends with the rig.
func (d *daemonProcess) start() error {
	d.command = exec.Command(program, "node", "--metrics-port", strconv.Itoa(metricsPort))
	d.command.Env = append(os.Environ(), "FINCHSPOKE_CONFIG="+d.settings)
	d.command.Stdout, d.command.Stderr = d.log, d.log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	command, exited := d.command, make(chan struct{})
	d.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (d *daemonProcess) signal(signal syscall.Signal) { _ = d.command.Process.Signal(signal) }

// kill ends the process, also one that is stopped.
func (d *daemonProcess) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-d.exited
}

func (d *daemonProcess) front() string { return net.JoinHostPort(d.ip, strconv.Itoa(frontPort)) }

func (d *daemonProcess) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(d.ip, strconv.Itoa(readyPort))+"/finchspoke/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// beat writes the registry entry of a replica until the returned function is called. The entry goes with the replica's
// third missing heartbeat.
func (r *rig) beat(replica *standin.Replica) (end func()) {
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-r.stopBeats:
				return
			case <-ended:
				select {
				case <-time.After(3 * heartbeat):
					replica.Deregister()
				case <-r.stopBeats:
				}
				return
			case <-time.After(heartbeat):
				replica.Register()
			}
		}
	}()
	return func() { close(ended) }
}

// attempt is one request of a client with its answer.
type attempt struct {
	method, path, id string
	header           map[string]string
	body             string
	deadline         time.Duration
}

// answer is what a client got.
type answer struct {
	status     int // zero: no complete answer
	body       string
	signed     bool
	retryAfter time.Duration
}

func (a answer) served() bool { return a.status == http.StatusOK && a.signed }

// send sends one attempt to a daemon.
func (r *rig) send(d *daemonProcess, a attempt) answer {
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	var body io.Reader
	if a.body != "" {
		body = strings.NewReader(a.body)
	}
	request, err := http.NewRequestWithContext(ctx, a.method, "http://"+d.front()+a.path, body)
	if err != nil {
		return answer{}
	}
	request.Host = standin.Host
	request.GetBody = nil // the client's transport repeats nothing
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	for name, value := range a.header {
		request.Header.Set(name, value)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return answer{status: response.StatusCode, body: string(data), signed: response.Header.Get("Response-Signature") != "", retryAfter: time.Duration(seconds * float64(time.Second))}
}
