package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a run of a request at a replica.
type run struct {
	id, replica string
	at          time.Time
}

// runs holds the runs of all replicas.
type runs struct {
	mutex sync.Mutex
	byID  map[string][]run
}

func (r *runs) add(id, replica string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.byID == nil {
		r.byID = map[string][]run{}
	}
	r.byID[id] = append(r.byID[id], run{id, replica, time.Now()})
}

func (r *runs) of(id string) []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]run(nil), r.byID[id]...)
}

// desk is a replica of the plain service. It runs slots requests at a time, queues a few more and rejects others.
type desk struct {
	id       string
	address  string
	slots    chan struct{}
	places   int // running and queued requests
	work     time.Duration
	record   *record
	runs     *runs
	listener net.Listener

	mutex   sync.Mutex
	taken   int
	conns   map[net.Conn]bool
	closed  bool
	random  *rand.Rand
	full    float64 // share of the requests that it rejects as if it were full
	surplus float64 // share of the answers of which a second one arrives late, in the place of the next
}

func startDesk(id, address string, slots, queue int, work time.Duration, seed uint64, all *runs, record *record) (*desk, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &desk{id: id, address: listener.Addr().String(), slots: make(chan struct{}, slots), places: slots + queue, work: work, record: record, runs: all,
		listener: listener, conns: map[net.Conn]bool{}, random: rand.New(rand.NewPCG(seed, 1))}
	go d.accept()
	return d, nil
}

// set sets the shares of requests that are rejected and of answers that come twice.
func (d *desk) set(full, surplus float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full, d.surplus = full, surplus
}

// drawsSurplus reports whether an answer comes twice.
func (d *desk) drawsSurplus() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.random.Float64() < d.surplus
}

func (d *desk) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mutex.Lock()
		d.conns[conn] = true
		closed := d.closed
		d.mutex.Unlock()
		if closed {
			_ = conn.Close()
			continue
		}
		go d.serve(conn)
	}
}

// crash ends the replica: connections break and new ones are refused.
func (d *desk) crash() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.closed = true
	_ = d.listener.Close()
	for conn := range d.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// received is a whole request; its context ends when the connection closes.
type received struct {
	request *http.Request
	body    []byte
}

// serve answers the requests of a connection, one at a time.
func (d *desk) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		_ = conn.Close()
		d.mutex.Lock()
		delete(d.conns, conn)
		d.mutex.Unlock()
	}()
	requests := make(chan received)
	go func() {
		defer cancel()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			select {
			case requests <- received{request, body}:
			case <-ctx.Done():
				return
			}
		}
	}()
	var late []byte // a second answer to the request before
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-requests:
			id := next.request.Header.Get("Request-Id")
			if late != nil {
				d.record.add("%s sends the surplus answer to the request before, in the place where that to %s is due", d.id, id)
				if _, err := conn.Write(late); err != nil {
					return
				}
				late = nil
			}
			text := d.answer(ctx, next, id)
			if ctx.Err() != nil {
				return
			}
			if _, err := conn.Write(text); err != nil {
				return
			}
			if id != "" && d.drawsSurplus() {
				late = text
			}
		}
	}
}

// answer runs or rejects a request.
func (d *desk) answer(ctx context.Context, next received, id string) []byte {
	if instance := next.request.Header.Get("Target-Instance"); instance != "" && instance != d.id {
		return respond(http.StatusMisdirectedRequest, id, "", "Instance-Id: "+d.id)
	}
	if id == "" {
		return respond(http.StatusBadRequest, id, "", "Not-Executed: 1")
	}
	if !d.enter() {
		d.record.add("%s rejects %s (503, Not-Executed)", d.id, id)
		return respond(http.StatusServiceUnavailable, id, "", "Not-Executed: 1")
	}
	defer d.leave()
	select {
	case d.slots <- struct{}{}:
		defer func() { <-d.slots }()
	case <-ctx.Done():
		return nil // the connection closed before the request began to run
	}
	d.record.add("%s runs %s", d.id, id)
	d.runs.add(id, d.id)
	time.Sleep(d.work)
	return respond(http.StatusOK, id, "done: "+id, "Response-Signature: by-"+d.id)
}

func (d *desk) enter() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.taken >= d.places || d.random.Float64() < d.full {
		return false
	}
	d.taken++
	return true
}

func (d *desk) leave() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.taken--
}

func respond(status int, id, body string, headers ...string) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if id != "" {
		text.WriteString("Request-Id: " + id + "\r\n")
	}
	for _, header := range headers {
		text.WriteString(header + "\r\n")
	}
	text.WriteString("\r\n" + body)
	return text.Bytes()
}

// readAnswer reads a client's answer.
func readAnswer(conn net.Conn, result answer) answer {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		result.failed = err.Error()
		return result
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		result.failed = "incomplete answer with status " + strconv.Itoa(response.StatusCode)
		return result
	}
	result.status, result.body, result.signature = response.StatusCode, string(body), response.Header.Get("Response-Signature")
	return result
}
