// Package quota keeps each tenant's requests, over all daemons together, within a limit. It
// reads no clock and sends nothing.
//
// One daemon, the holder, keeps a Ledger with a token bucket for each tenant; the others ask
// it for each request through their Account. So that requests go on while the holder is lost,
// it lends daemons credit ahead, which counts as used for as long as it may be used. Both
// together stay within what the limit allows in any window, whoever is lost, cut off or
// stands still.
//
// A window allows (rate x window + burst) x (1 + over) + slack. Beyond rate x window that is
// the reserve, of which the bucket has what is not lent ahead. So a tenant far below its
// limit has most of the reserve where its requests come, and one close to it has it in the
// bucket, where requests that come together find it.
package quota

import "time"

// Limit is what a tenant may use, in its own unit (tokens or requests).
type Limit struct {
	// PerSecond is the lasting rate; zero sets no limit.
	PerSecond float64
	// Burst may be used above the rate at once.
	Burst float64
}

// Unlimited tells that there is no limit.
func (l Limit) Unlimited() bool { return l.PerSecond <= 0 }

// Bounds is how closely limits are kept.
type Bounds struct {
	// Window is the length of time over which use is summed.
	Window time.Duration
	// Over is the share by which the use in a window may exceed the limit.
	Overshoot float64
	// Slack may be used in a window besides, in the tenants' units.
	Slack float64
}

const (
	// burstShare is the share of a tenant's burst that is never lent ahead.
	burstShare = 0.5
	// lastShare is the share of the slack that is kept for the last request that a bucket
	// gives way to: it may take more than the bucket has left. Without that, requests with few
	// tokens would empty the bucket of a tenant at its limit before those with many ever found
	// it full enough. It is kept twice, for two holders that follow each other.
	lastShare = 0.25
	// lentShare is the share of the remaining reserve that is lent ahead at most. With half of
	// it, a further holder can lend as much while what its predecessor lent still counts; with
	// nine tenths it could lend nothing for two windows.
	lentShare = 0.5
	// usualShare is the share of its limit up to which a tenant has as much lent ahead as
	// there is; with more it has less, and none from busyShare on. A tenant that asks nine
	// tenths of 20,000 tokens a second then has 0.2 in 100 more of its requests refused than
	// its limit demands; 1.6 where credit was lent up to the whole limit.
	usualShare = 0.6
	busyShare  = 0.8
)

// division is how the use that a window allows is divided.
type division struct {
	most    float64 // in any window
	reserve float64 // beyond the lasting rate
	ahead   float64 // of the reserve, lent ahead to all daemons together at most
}

// divide returns the division for a limit.
func (b Bounds) divide(limit Limit) division {
	lasting := limit.PerSecond * b.Window.Seconds()
	made := division{most: (lasting+limit.Burst)*(1+b.Overshoot) + b.Slack}
	made.reserve = max(0, made.most-lasting-2*lastShare*b.Slack)
	made.ahead = max(0, lentShare*(made.reserve-burstShare*limit.Burst))
	return made
}

// aheadAt returns how much may be lent ahead to a tenant that uses so much a second.
func (d division) aheadAt(used, limit float64) float64 {
	return d.ahead * min(1, max(0, (busyShare-used/limit)/(busyShare-usualShare)))
}

// lapse is how long credit that was lent ahead may be used, from when the daemon asked. It
// must outlast the time until another holder answers.
func (b Bounds) lapse() time.Duration { return b.Window }
