package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	draftPath     = "/draft/" // a stream that may not be resumed
	draftEvents   = 30
	draftInterval = 100 * time.Millisecond
	draftDeadline = 25 * time.Second
	memoryMB      = 284 // as in the settings
	floodRate     = 40 << 20
	floodChunk    = 256 << 10
	floodMaxBytes = 600 << 20
	floodPlay     = 45 * time.Second
	floodAt       = 10 * time.Second
)

// press is a replica of a service whose answers are streams.
type press struct {
	id, address string
	record      *record
	listener    net.Listener
	mutex       sync.Mutex
	floods      int // requests still to be answered with bytes that form no answer
	runs        *runs
}

func startPress(id string, all *runs, record *record) (*press, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &press{id: id, address: listener.Addr().String(), record: record, listener: listener, runs: all}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *press) setFloods(count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.floods = count
}

// takesFlood reports whether a request is answered with bytes that form no answer.
func (p *press) takesFlood() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.floods == 0 {
		return false
	}
	p.floods--
	return true
}

func (p *press) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if instance := request.Header.Get("Target-Instance"); instance != "" && instance != p.id {
			_, _ = conn.Write(respond(http.StatusMisdirectedRequest, id, "", "Instance-Id: "+p.id))
			continue
		}
		if id == "" {
			_, _ = conn.Write(respond(http.StatusBadRequest, id, "", "Not-Executed: 1"))
			continue
		}
		if p.takesFlood() {
			p.flood(conn, id)
			return
		}
		p.record.add("%s runs %s", p.id, id)
		p.runs.add(id, p.id)
		if !p.stream(conn, id) {
			return
		}
	}
}

// flood answers with bytes that form no answer, slower than the link allows.
func (p *press) flood(conn net.Conn, id string) {
	p.record.add("%s begins to send bytes that form no answer to %s, %d MB a second", p.id, id, floodRate>>20)
	chunk := []byte(strings.Repeat("x", floodChunk))
	begun, sent := time.Now(), 0
	for sent < floodMaxBytes {
		if _, err := conn.Write(chunk); err != nil {
			break
		}
		sent += len(chunk)
		time.Sleep(time.Until(begun.Add(time.Duration(float64(sent) / floodRate * float64(time.Second)))))
	}
	p.record.add("%s ends the bytes for %s after %d MB", p.id, id, sent>>20)
}

// draftEvent is an event of a stream; the last one says so.
func draftEvent(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", number, id, number, draftEvents)
}

// stream answers with a whole stream.
func (p *press) stream(conn net.Conn, id string) bool {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: " + id + "\r\nResponse-Signature: by-" + p.id + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for number := 1; number <= draftEvents; number++ {
		event := draftEvent(id, number)
		if _, err := io.WriteString(conn, strconv.FormatInt(int64(len(event)), 16)+"\r\n"+event+"\r\n"); err != nil {
			return false
		}
		time.Sleep(draftInterval)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// rss returns the resident memory of a process in MB.
func rss(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// keepMemory does what the platform does with a process that goes over its memory: it is killed, and started again
// after a short delay. It returns how often that happened once stop is closed.
func keepMemory(d *daemon, record *record, stop <-chan struct{}) <-chan int {
	result := make(chan int, 1)
	go func() {
		kills, peak := 0, 0
		for {
			select {
			case <-stop:
				record.add("%s had %d MB at its peak", d.name, peak)
				result <- kills
				return
			case <-time.After(10 * time.Millisecond):
			}
			used := rss(d.command.Process.Pid)
			peak = max(peak, used)
			if used <= memoryMB {
				continue
			}
			kills++
			record.add("%s has %d MB, over the %d MB of its machine: the platform kills it", d.name, used, memoryMB)
			d.kill()
			time.Sleep(500 * time.Millisecond)
			if err := d.start(); err != nil {
				record.add("%s does not start again: %s", d.name, err)
			}
		}
	}()
	return result
}

// runFlood sends streams to a service of three replicas. With trouble, one replica answers one request with bytes that
// form no answer. It returns the breaches of the rules: other requests of that daemon that are lost.
func runFlood(directory string, record *record, trouble bool) (breaches []string, err error) {
	p := newPlatform(directory)
	defer p.stopAll()
	all := &runs{} // of the sound streams; the request that gets bytes that form no answer isn't among them
	var replicas []*press
	for number := range 3 {
		replica, err := startPress(fmt.Sprintf("i-press-%d", number+1), all, record)
		if err != nil {
			return nil, err
		}
		defer func() { _ = replica.listener.Close() }()
		replicas = append(replicas, replica)
		if err := p.register(replica.id, deskService, replica.address, 64); err != nil {
			return nil, err
		}
	}
	if err := p.configure(); err != nil {
		return nil, err
	}
	if err := p.addDaemons(2); err != nil {
		return nil, err
	}
	if err := p.startAll(); err != nil {
		return nil, err
	}
	record.add("the daemons are ready")
	stop := make(chan struct{})
	var watches []<-chan int
	for _, d := range p.daemons {
		watches = append(watches, keepMemory(d, record, stop))
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	var answers []answer
	begun := time.Now()
	for number := 0; time.Since(begun) < floodPlay; number++ {
		if trouble && number == int(floodAt/(250*time.Millisecond)) {
			replicas[0].setFloods(1)
		}
		group.Go(func() {
			id := fmt.Sprintf("s%04d", number)
			front := p.daemons[number%len(p.daemons)].front
			record.add("a client sends %s (stream) to %s", id, front)
			got := send(http.MethodPost, front, draftPath+"2f", id, "draft "+id, draftDeadline)
			record.add("the client gets %d %s for %s, %d bytes", got.status, got.failed, id, len(got.body))
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, got)
		})
		time.Sleep(250 * time.Millisecond)
	}
	group.Wait()
	close(stop)
	for number, watch := range watches {
		if kills := <-watch; kills > 0 {
			breaches = append(breaches, fmt.Sprintf("%s ended %d times by itself: over the memory of its machine", p.daemons[number].name, kills))
		}
	}
	served, lost := 0, 0
	for _, got := range answers {
		switch {
		case got.status == http.StatusOK:
			served++
		case got.status == 0 && len(all.of(got.id)) > 0:
			lost++
			breaches = append(breaches, fmt.Sprintf("LOST: %s was passed on to %s, which ran it; its connection ended without a complete answer (%s)", got.id, all.of(got.id)[0].replica, got.failed))
		}
	}
	record.add("answers: %s; lost while a replica ran them: %d", summary(answers), lost)
	if served == 0 {
		return nil, fmt.Errorf("no request was served: %s", summary(answers))
	}
	if lost == 0 {
		return nil, nil
	}
	return breaches, nil
}
