package quota

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// maxTold bounds the reservations that a daemon remembers; later ones are not remembered.
const maxTold = 1024

// toldKey identifies a reservation.
type toldKey struct {
	tenant      string
	fingerprint Fingerprint
}

type toldReservation struct {
	cost float64
	due  time.Time
}

// Told is a daemon's record of the reservations that it told callers of, to name them to a new leader. It
// is not safe for concurrent use.
type Told struct {
	reservations map[toldKey]toldReservation
}

// Remember records a reservation that is due after a time.
func (t *Told) Remember(reservation Reservation, now time.Time) {
	if t.reservations == nil {
		t.reservations = map[toldKey]toldReservation{}
	}
	if len(t.reservations) >= maxTold {
		t.expire(now)
	}
	if len(t.reservations) < maxTold {
		t.reservations[toldKey{reservation.Tenant, reservation.Fingerprint}] = toldReservation{reservation.Cost, now.Add(reservation.In)}
	}
}

// Forget drops the reservation of a request that has returned.
func (t *Told) Forget(tenant string, fingerprint Fingerprint) {
	delete(t.reservations, toldKey{tenant, fingerprint})
}

// Reservations returns those that have not lapsed, in the order in which they are due.
func (t *Told) Reservations(now time.Time) []Reservation {
	t.expire(now)
	reservations := make([]Reservation, 0, len(t.reservations))
	for key, told := range t.reservations {
		reservations = append(reservations, Reservation{Tenant: key.tenant, Fingerprint: key.fingerprint, Cost: told.cost, In: told.due.Sub(now)})
	}
	slices.SortFunc(reservations, func(a, b Reservation) int {
		return cmp.Or(cmp.Compare(a.In, b.In), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return reservations
}

func (t *Told) expire(now time.Time) {
	for key, told := range t.reservations {
		if now.Sub(told.due) >= ReturnGrace {
			delete(t.reservations, key)
		}
	}
}
