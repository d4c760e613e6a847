package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/finchspoke/finchspoke/platform/standin"
)

// The case "identical": all replicas of a plain service crash at once and come back. One kind of request, a list that all
// clients read, is the same each time; the other is different each time.
const (
	listPath, itemPath = "/list/", "/item/"
	listsPerSecond     = 90
	itemsPerSecond     = 40
	identicalCrashAt   = 5 * time.Second
	identicalDownFor   = 4500 * time.Millisecond
	identicalLength    = 90 * time.Second
	identicalDeadline  = 1500 * time.Millisecond
	deskReplicas       = 3
	deskSlots          = 6
	deskQueue          = 24
	deskWork           = 100 * time.Millisecond
	starvedShare       = 0.25
)

// tally counts the requests of a kind, by ten seconds.
type tally struct {
	mutex        sync.Mutex
	sent, served []int
}

func (t *tally) add(at time.Duration, served bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	window := int(at / (10 * time.Second))
	for len(t.sent) <= window {
		t.sent, t.served = append(t.sent, 0), append(t.served, 0)
	}
	t.sent[window]++
	if served {
		t.served[window]++
	}
}

func (t *tally) totals() (sent, served int) {
	for window := range t.sent {
		sent += t.sent[window]
		served += t.served[window]
	}
	return sent, served
}

// deskFaults are the size and the speed of a replica of the plain service.
func deskFaults() standin.ReplicaFaults {
	return standin.ReplicaFaults{Slots: deskSlots, Room: deskSlots + deskQueue, ProcessingTime: deskWork}
}

func runIdentical(r *rig) int {
	engine := &standin.Engine{MemoryMB: 230, AdapterSlots: 8, LoadsPerSecond: 3.1, Models: []standin.Model{{Name: "m0", MemoryMB: 70, LoadTime: time.Second}}}
	if err := standin.Configure(r.store, 3, engine, listPath, itemPath); err != nil {
		r.summary("cannot configure: %s", err)
		return exitNotRun
	}
	var replicas []*standin.Replica
	var endBeats []func()
	for number := range deskReplicas {
		replica, err := standin.StartReplica(fmt.Sprintf("i-desk-%d", number), standin.DeskService, nil, r.store, r.history)
		if err != nil {
			r.summary("cannot start a replica: %s", err)
			return exitNotRun
		}
		replica.SetFaults(deskFaults())
		replica.Register()
		replicas, endBeats = append(replicas, replica), append(endBeats, r.beat(replica))
	}
	if err := r.startDaemons(3, false, r.store.AddressFor); err != nil {
		r.summary("cannot start: %s", err)
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	lists, items := &tally{}, &tally{}
	var sequence atomic.Int64
	var group sync.WaitGroup
	send := func(kind string, counts *tally) {
		defer group.Done()
		number := sequence.Add(1)
		path := listPath + "due"
		if kind == "item" {
			path = fmt.Sprintf("%s%d", itemPath, number)
		}
		sentAt := time.Now()
		var got answer
		for try := 0; ; try++ {
			id, daemon := fmt.Sprintf("%012x%04x", number, try), r.daemons[rand.IntN(len(r.daemons))]
			left := identicalDeadline - time.Since(sentAt)
			sent := time.Now()
			got = r.send(daemon, attempt{method: http.MethodGet, path: path, id: id, deadline: left})
			r.note("%s GET %s %s at %.3f s to %s: status %d, retry-after %.1f s, ran on %v", kind, id, path, sent.Sub(r.started).Seconds(), daemon.name, got.status, got.retryAfter.Seconds(), r.history.Runs(id))
			left = identicalDeadline - time.Since(sentAt)
			if got.served() || try == clientRetries || left <= 0 {
				break
			}
			time.Sleep(min(got.retryAfter, left/3))
		}
		counts.add(sentAt.Sub(began), got.served())
	}
	stop := make(chan struct{})
	generate := func(kind string, perSecond int, counts *tally) {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				group.Add(1)
				go send(kind, counts)
			}
		}
	}
	var generators sync.WaitGroup
	generators.Go(func() { generate("list", listsPerSecond, lists) })
	generators.Go(func() { generate("item", itemsPerSecond, items) })
	if r.trouble {
		time.Sleep(identicalCrashAt)
		for number, replica := range replicas {
			replica.Crash()
			endBeats[number]()
		}
		r.summary("all %d replicas crashed at %.1f s", deskReplicas, time.Since(began).Seconds())
		time.Sleep(identicalDownFor)
		for number, replica := range replicas {
			restarted, err := replica.Restart(fmt.Sprintf("i-desk-%d-again", number))
			if err != nil {
				r.summary("cannot start a replica again: %s", err)
				return exitNotRun
			}
			r.beat(restarted)
		}
		r.summary("all replicas are back at %.1f s", time.Since(began).Seconds())
	}
	time.Sleep(identicalLength - time.Since(began))
	close(stop)
	generators.Wait()
	group.Wait()
	return r.judgeStarved("list", lists, "item", items)
}

// judgeStarved judges the rule Starved for a kind of request beside another one.
func (r *rig) judgeStarved(kind string, counts *tally, otherKind string, others *tally) int {
	for window := range min(len(counts.sent), len(others.sent)) {
		r.summary("%2d to %2d s: %s served %d of %d, %s served %d of %d", 10*window, 10*window+10, kind, counts.served[window], counts.sent[window], otherKind, others.served[window], others.sent[window])
	}
	sent, served := counts.totals()
	othersSent, othersServed := others.totals()
	if sent == 0 || othersSent == 0 || counts.served[0] == 0 {
		r.summary("the requests were not served before the disruption either")
		return exitNotRun
	}
	share, all := float64(served)/float64(sent), float64(served+othersServed)/float64(sent+othersSent)
	r.summary("served: %s %.3f, all requests %.3f; a quarter of that is %.3f", kind, share, all, starvedShare*all)
	if share < starvedShare*all {
		r.summary("Starved: the kind of request %q is served less than a quarter as often as all requests", kind)
		return exitBroken
	}
	return exitHeld
}
