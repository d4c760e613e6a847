package fleet

import (
	"slices"
	"strings"
	"time"
)

// Hint is what a replica states about itself in a response to this daemon.
type Hint struct {
	Replica   string
	RequestID string        // of the request that was answered; empty for load orders and probes
	Leaving   bool          // the replica is draining and takes no new work
	Backoff   time.Duration // requested pause of this daemon; zero means none
	Limit     LimitHint
	PerSecond float64   // with LimitGiven: messages per second over all daemons
	SentAt    time.Time // when the answered request was sent
	// InvalidLimit is the text of a limit that is not a valid rate; empty otherwise.
	InvalidLimit string
	Brittle      BrittleHint
	// InvalidBrittle is the text of a number of rejections that is not valid; empty otherwise.
	InvalidBrittle string
}

// hintRecord holds the hints of one incarnation. It outlives the replica's entry, which may expire and
// return during a registry outage.
type hintRecord struct {
	born         int64 // start time of the incarnation; zero means unknown
	draining     bool
	localReport  bool      // this daemon must report the draining to the leader
	backoffUntil time.Time // end of the requested back-off
	limit        limit
	registry     registryHistory
	updatedAt    time.Time
}

// hintRetention is how long the hints of a replica outside the registry are kept. It covers long
// registry outages.
const hintRetention = time.Hour

// ApplyHint applies a hint and reports whether the replica is newly known to be draining.
// Draining and back-off take effect at once, since the registry reports them late or not at all during
// an outage.
func (d *Directory) ApplyHint(hint Hint, now time.Time) (changed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if hint.Backoff > 0 {
		d.extendBackoff(hint.Replica, now.Add(hint.Backoff), now)
	}
	return hint.Leaving && d.markDraining(Incarnation{hint.Replica, d.startOf(hint.Replica)}, true, now)
}

// startOf returns the start time of the incarnation that currently has the id, or zero; the caller
// holds the mutex.
func (d *Directory) startOf(id string) int64 {
	if replica := d.replicas[id]; replica != nil {
		return replica.Born
	}
	return 0
}

// extendBackoff extends a replica's back-off; an earlier end is ignored, since responses may arrive
// out of order. The caller holds the mutex.
func (d *Directory) extendBackoff(id string, until, now time.Time) {
	record := d.hintRecordOf(Incarnation{id, d.startOf(id)}, now)
	if until.After(record.backoffUntil) {
		record.backoffUntil = until
	}
}

// BackoffUntil returns the end of a replica's back-off, which may have passed; zero if there was none.
func (d *Directory) BackoffUntil(id string) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.requestedBackoffEnd(id)
}

// requestedBackoffEnd returns the end of the back-off that a replica asked for, or zero; the caller
// holds the mutex.
func (d *Directory) requestedBackoffEnd(id string) time.Time {
	if record := d.hints[id]; record != nil {
		return record.backoffUntil
	}
	return time.Time{}
}

// AdmissionError is the error type of Admit and AdmitVersion: why a request must not be sent to its chosen replica.
type AdmissionError string

// Errors of Admit and AdmitVersion.
const (
	ErrDraining     AdmissionError = "replica is draining"
	ErrBackingOff   AdmissionError = "replica asked this daemon to back off"
	ErrRateLimited  AdmissionError = "replica is rate-limited and the request has no valid permit"
	ErrOtherVersion AdmissionError = "replica started again with another software version"
	ErrQuarantined  AdmissionError = "request is quarantined, or held until it is known whether it crashes replicas"
)

// Error returns the reason.
func (e AdmissionError) Error() string { return string(e) }

// Permit allows sending one message to a rate-limited replica.
type Permit interface {
	// Use consumes the permit. It returns false if the permit has expired or was used before.
	Use() bool
}

// Admit reports whether a request may still be sent to its chosen replica. It must be called right
// before sending, since the replica may have sent hints while the connection was opened. It consumes
// the permit if the replica is rate-limited or brittle. The error is an AdmissionError.
func (d *Directory) Admit(id string, permit Permit, now time.Time) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	record := d.hints[id]
	switch {
	case record == nil:
	case record.draining:
		return ErrDraining
	case now.Before(record.backoffUntil):
		return ErrBackingOff
	}
	replica := d.replicas[id]
	limited := record != nil && record.limit.perSecond > 0
	if !limited && (replica == nil || !d.isBrittle(replica.Service)) {
		return nil
	}
	if permitted := permit != nil && permit.Use(); limited && !permitted {
		return ErrRateLimited
	}
	return nil
}

// AdmitVersion reports whether a request may still be sent to a replica that was chosen for its software version. As
// Admit, it must be called right before sending. The error is an AdmissionError.
func (d *Directory) AdmitVersion(id, version string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if replica := d.replicas[id]; replica != nil && replica.Version != version {
		return ErrOtherVersion
	}
	return nil
}

// Backoff is the back-off of a replica.
type Backoff struct {
	Replica string
	Until   time.Time
}

// EarliestBackoff returns the back-off that ends first among the replicas that serve a target; found
// is false if none is backing off.
func (d *Directory) EarliestBackoff(service string, target Target, now time.Time) (first Backoff, found bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, replica := range d.index(service).withModel(target.Model) {
		until := d.requestedBackoffEnd(replica.ID)
		if replica.Draining || !until.After(now) || !replica.hasLoaded(target, now) {
			continue
		}
		if !found || until.Before(first.Until) {
			first, found = Backoff{replica.ID, until}, true
		}
	}
	return first, found
}

// hintRecordOf returns the hint record of an incarnation for modification, creating it if needed; the
// caller holds the mutex.
func (d *Directory) hintRecordOf(incarnation Incarnation, now time.Time) *hintRecord {
	record := d.hints[incarnation.ID]
	if record == nil || bornBefore(record.born, incarnation.Born) {
		d.evictOldHints(now)
		record = &hintRecord{}
		d.hints[incarnation.ID] = record
	}
	record.updatedAt = now
	if record.born == 0 {
		record.born = incarnation.Born
	}
	return record
}

// ApplyRelayedDraining records that a replica reported to another daemon that it is draining, and
// reports whether that is new.
func (d *Directory) ApplyRelayedDraining(incarnation Incarnation, now time.Time) (changed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.markDraining(incarnation, false, now)
}

// markDraining records that an incarnation is draining; the caller holds the mutex.
func (d *Directory) markDraining(incarnation Incarnation, localReport bool, now time.Time) (changed bool) {
	record := d.hintRecordOf(incarnation, now)
	if bornBefore(incarnation.Born, max(record.born, d.startOf(incarnation.ID))) {
		return false // superseded by a newer incarnation
	}
	if record.draining {
		return false
	}
	record.draining, record.localReport = true, localReport
	if replica := d.replicas[incarnation.ID]; replica != nil && !replica.Draining {
		d.change(incarnation.ID, func(replica *Replica) { replica.Draining = true })
	}
	return true
}

// hintSweepInterval is the interval between evictions of expired hints.
const hintSweepInterval = time.Minute

// evictOldHints drops expired hints of removed replicas; the caller holds the mutex.
func (d *Directory) evictOldHints(now time.Time) {
	if now.Sub(d.hintsSweptAt) < hintSweepInterval {
		return
	}
	d.hintsSweptAt = now
	for id, record := range d.hints {
		if d.replicas[id] == nil && now.Sub(record.updatedAt) > hintRetention && now.After(record.backoffUntil) {
			delete(d.hints, id)
		}
	}
}

// mergeHints applies a replica's hints to its registry entry, and drops hints of an earlier
// incarnation; the caller holds the mutex.
func (d *Directory) mergeHints(entry Entry) Entry {
	record := d.hints[entry.ID]
	switch {
	case record == nil:
	case bornBefore(record.born, entry.Born):
		delete(d.hints, entry.ID)
	case record.draining, record.registry.drained:
		entry.Draining = true
	}
	return entry
}

// LocallyReportedDraining lists the draining replicas that this daemon must report to the leader,
// sorted by id.
func (d *Directory) LocallyReportedDraining() []Incarnation {
	return d.drainingWhere(func(record *hintRecord) bool { return record.localReport })
}

// ReportedDraining lists the replicas known to have reported draining to any daemon, sorted by id.
func (d *Directory) ReportedDraining() []Incarnation {
	return d.drainingWhere(func(*hintRecord) bool { return true })
}

// DrainingIncarnation reports whether a replica has reported draining to any daemon, and which
// incarnation did.
func (d *Directory) DrainingIncarnation(id string) (incarnation Incarnation, isDraining bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	record := d.hints[id]
	if record == nil || !record.draining {
		return Incarnation{}, false
	}
	return Incarnation{id, record.born}, true
}

func (d *Directory) drainingWhere(matches func(*hintRecord) bool) (draining []Incarnation) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id, record := range d.hints {
		if record.draining && matches(record) && d.replicas[id] != nil {
			draining = append(draining, Incarnation{id, record.born})
		}
	}
	slices.SortFunc(draining, func(a, b Incarnation) int { return strings.Compare(a.ID, b.ID) })
	return draining
}
