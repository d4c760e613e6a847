package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The times of the cases, from the start of the traffic. The final fault kills all daemons at once; they start again.
const (
	disruptionAt    = 12 * time.Second
	replicasDownFor = 4500 * time.Millisecond
	finalFaultAt    = 20 * time.Second
	daemonsDownFor  = 1300 * time.Millisecond
	judgedFor       = 20 * time.Second
)

// The rule RECOVER, with the site's recoverS.
const (
	recoverTime  = 12 * time.Second
	recoverShare = 0.25
)

// tally holds when the requests of each kind were sent, and whether they were served.
type tally struct {
	mutex    sync.Mutex
	requests map[string][]request
}

type request struct {
	sentAt time.Time
	served bool
}

func newTally() *tally { return &tally{requests: map[string][]request{}} }

func (t *tally) add(kind string, sentAt time.Time, served bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.requests[kind] = append(t.requests[kind], request{sentAt, served})
}

// between counts the requests of a kind that were sent between two times; all kinds if it is empty.
func (t *tally) between(kind string, from, to time.Time) (sent, served int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for name, requests := range t.requests {
		if kind != "" && name != kind {
			continue
		}
		for _, r := range requests {
			if r.sentAt.Before(from) || !r.sentAt.Before(to) {
				continue
			}
			sent++
			if r.served {
				served++
			}
		}
	}
	return sent, served
}

// restartDaemons kills all daemons and starts them again. It returns when all are ready.
func (r *rig) restartDaemons() error {
	for _, d := range r.daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range r.daemons {
		<-d.exited
	}
	time.Sleep(daemonsDownFor)
	for _, d := range r.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, d := range r.daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready again", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// finish plays the final fault, ends the traffic and judges the rule RECOVER.
func (r *rig) finish(began time.Time, counts *tally, endTraffic func()) int {
	time.Sleep(time.Until(began.Add(finalFaultAt)))
	faultAt := time.Now()
	r.summary("all daemons are killed at %.1f s", faultAt.Sub(began).Seconds())
	if err := r.restartDaemons(); err != nil {
		r.summary("cannot start the daemons again: %s", err)
		return exitNotRun
	}
	backAt := time.Now()
	r.summary("all daemons are ready again at %.1f s", backAt.Sub(began).Seconds())
	time.Sleep(recoverTime + judgedFor)
	endsAt := time.Now()
	endTraffic()
	for _, kind := range slices.Sorted(maps.Keys(counts.requests)) {
		for from := began; from.Before(endsAt); from = from.Add(5 * time.Second) {
			sent, served := counts.between(kind, from, from.Add(5*time.Second))
			r.summary("from %2.0f s: %s served %d of %d", from.Sub(began).Seconds(), kind, served, sent)
		}
	}
	sentBefore, servedBefore := counts.between("", began, faultAt)
	sentAfter, servedAfter := counts.between("", backAt.Add(recoverTime), endsAt)
	r.summary("before the final fault %d of %d were served; of those sent more than %.0f s after the machines returned, %d of %d", servedBefore, sentBefore, recoverTime.Seconds(), servedAfter, sentAfter)
	if sentAfter == 0 || float64(servedBefore) < recoverShare*float64(sentBefore) {
		r.summary("the rule cannot be judged")
		return exitNotRun
	}
	if float64(servedAfter) < recoverShare*float64(sentAfter) {
		r.summary("RECOVER: fewer than a quarter were served")
		return exitBroken
	}
	return exitHeld
}
