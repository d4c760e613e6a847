package origin

import (
	"fmt"
	"time"
)

// answer is what another daemon said of a stream's origin and of the service's versions.
type answer struct {
	Finding
	view VersionView
}

// inquiry is all that a daemon found out about a stream's origin.
type inquiry struct {
	own     Finding
	view    VersionView
	mixed   bool // the leader knows of several versions
	asked   int  // other daemons
	answers []answer
	// confirmed states that the view was completed by a read of the registry after the query.
	confirmed bool
	// recorded states that this read includes the versions that served within Horizon and have left.
	recorded bool
}

// decide determines which version began a stream, or why that is not known.
func decide(inquiry inquiry, now time.Time) Resolution {
	if inquiry.ambiguous() {
		return unknown("daemons know of several software versions that began streams of this request")
	}
	if found, ok := inquiry.found(); ok {
		return found
	}
	return infer(inquiry, now)
}

// infer concludes from the versions that are known which one must have begun a stream.
func infer(inquiry inquiry, now time.Time) Resolution {
	versions := inquiry.versions()
	switch {
	case len(versions) == 0:
		return unknown("no replica of the service is known")
	case len(versions) > 1:
		return unknown(fmt.Sprintf("replicas of %d software versions serve, or did lately, and no daemon knows which began the stream", len(versions)))
	case inquiry.mixed:
		return unknown("the leader knows of replicas of further software versions, and no daemon knows which began the stream")
	case !inquiry.current():
		return unknown("records of replicas may be out of date here, and too few daemons answered")
	case !inquiry.covered(now):
		return unknown("no daemon has watched the replicas for long enough to know which software versions served")
	}
	version := ""
	for version = range versions {
	}
	return Resolution{Version: version, Known: true, Source: SourceInferred}
}

func unknown(reason string) Resolution { return Resolution{Source: SourceUnknown, Reason: reason} }

// servedThroughout reports whether a view of all replicas has one that has served for all of Horizon. Where all
// daemons have just started and the versions were not recorded, those that serve are then taken for those of the last
// Horizon.
func servedThroughout(view VersionView, now time.Time) bool {
	return view.Current && !view.Partial && !view.OldestBorn.IsZero() && now.Sub(view.OldestBorn) >= Horizon
}

// ambiguous reports whether the daemons know of streams of the request that different versions began.
func (i inquiry) ambiguous() bool {
	known, found := i.own, i.own.Found
	if known.Ambiguous {
		return true
	}
	for _, answer := range i.answers {
		if answer.Ambiguous || answer.Found && found && answer.Version != known.Version {
			return true
		}
		if answer.Found {
			known, found = answer.Finding, true
		}
	}
	return false
}

// found returns the version that a daemon knows to have begun the stream.
func (i inquiry) found() (Resolution, bool) {
	if i.own.Found {
		return Resolution{Version: i.own.Version, Known: true, Source: SourceOwn}, true
	}
	for _, answer := range i.answers {
		if answer.Found {
			return Resolution{Version: answer.Version, Known: true, Source: SourcePeer}, true
		}
	}
	return Resolution{}, false
}

// versions returns the versions that any of the daemons knows of.
func (i inquiry) versions() map[string]bool {
	versions := map[string]bool{}
	for _, view := range i.views() {
		for _, version := range view.Versions {
			versions[version] = true
		}
	}
	return versions
}

func (i inquiry) views() []VersionView {
	views := []VersionView{i.view}
	for _, answer := range i.answers {
		views = append(views, answer.view)
	}
	return views
}

// covered reports whether a version that served within Horizon would be known to one of the daemons. A read of the registry
// shows what serves now: for versions that have served and left it needs a record of these, or a daemon that has missed no
// change.
func (i inquiry) covered(now time.Time) bool {
	if i.confirmed && i.recorded {
		return true
	}
	for _, view := range i.views() {
		if view.Covered && (view.Current || !i.confirmed) || servedThroughout(view, now) {
			return true
		}
	}
	return false
}

// current reports whether a version that serves would be known to one of the daemons. One that is cut off from the
// key-value service and most other daemons may miss a version, and so may several that are cut off together. Most
// daemons must have answered if the records of one are up to date, and nearly all if none are, as in an outage of
// the key-value service. A daemon that has just read the registry needs no other.
func (i inquiry) current() bool {
	if i.confirmed {
		return true
	}
	present, all := 1+len(i.answers), 1+i.asked
	for _, view := range i.views() {
		if view.Current {
			return 2*present > all
		}
	}
	return i.asked > 0 && 4*present >= 3*all
}
