package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	deskReplicas   = 3
	surplusPlay    = 80 * time.Second
	requestPause   = 150 * time.Millisecond
	rejectedShare  = 0.45
	surplusShare   = 0.1
	clientDeadline = time.Second
)

// runSurplus sends unsafe requests to a service of which one replica is left, which rejects part of them (503,
// Not-Executed). With trouble, that replica sends a second answer to some requests, late, in the place where the next
// answer is due. It returns the breaches of the rules.
func runSurplus(directory string, record *record, trouble bool) (breaches []string, err error) {
	p := newPlatform(directory)
	defer p.stopAll()
	all := &runs{}
	var replicas []*desk
	for number := range deskReplicas {
		replica, err := startDesk(fmt.Sprintf("i-desk-%d", number+1), "127.0.0.1:0", 6, 24, 30*time.Millisecond, uint64(number+1), all, record)
		if err != nil {
			return nil, err
		}
		defer replica.crash()
		replicas = append(replicas, replica)
		if err := p.register(replica.id, deskService, replica.address, 6); err != nil {
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
	for _, replica := range replicas[1:] {
		record.add("%s is lost for good; its entry goes", replica.id)
		replica.crash()
		p.store.Remove("servers/" + replica.id)
	}
	time.Sleep(3 * time.Second)
	surplus := 0.0
	if trouble {
		surplus = surplusShare
	}
	replicas[0].set(rejectedShare, surplus)
	record.add("%s rejects %.2f of the requests; %.2f of its answers come twice", replicas[0].id, rejectedShare, surplus)
	var group sync.WaitGroup
	var mutex sync.Mutex
	var answers []answer
	until := time.Now().Add(surplusPlay)
	for number := 0; time.Now().Before(until); number++ {
		group.Go(func() {
			id := fmt.Sprintf("r%04d", number)
			front := p.daemons[number%len(p.daemons)].front
			record.add("a client sends %s (unsafe) to %s", id, front)
			got := send(http.MethodPost, front, unsafePath+"2f", id, "record "+id, clientDeadline)
			record.add("the client gets %d %s for %s", got.status, got.failed, id)
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, got)
		})
		time.Sleep(requestPause)
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond) // for runs that begin later than the answer
	record.add("answers: %s", summary(answers))
	served := 0
	for _, got := range answers {
		breaches = append(breaches, judgeUnsafe(got, all.of(got.id))...)
		if got.status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		return nil, fmt.Errorf("no request was served: %s", summary(answers))
	}
	return breaches, nil
}

// judgeUnsafe returns what of the rules TWICE, REFUSED and MIXED an unsafe request breaks.
func judgeUnsafe(got answer, ran []run) (breaches []string) {
	var places []string
	for _, one := range ran {
		places = append(places, one.replica)
	}
	if len(ran) > 1 {
		breaches = append(breaches, fmt.Sprintf("TWICE: %s ran %d times, at %s; its client got %d", got.id, len(ran), strings.Join(places, ", "), got.status))
	}
	switch got.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(ran) > 0 {
			breaches = append(breaches, fmt.Sprintf("REFUSED: %s ran at %s; its client got %d", got.id, strings.Join(places, ", "), got.status))
		}
	case http.StatusOK:
		if got.body != "done: "+got.id || got.signature == "" {
			breaches = append(breaches, fmt.Sprintf("MIXED: %s got the body %q", got.id, got.body))
		}
	}
	return breaches
}
