package membership

import (
	"github.com/finchspoke/finchspoke/rendezvous"
)

// View is what a daemon knows of the members at one moment. It is read-only.
type View struct {
	SelfID  string
	Members []Member // sorted by id, this daemon included
}

// Member returns a member by id.
func (v *View) Member(id string) (Member, bool) {
	for _, member := range v.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Self returns this daemon.
func (v *View) Self() Member {
	self, _ := v.Member(v.SelfID)
	return self
}

// RunningIn returns the ids of running members in a region; all where the region
// is empty.
func (v *View) RunningIn(region string) []string {
	var ids []string
	for _, member := range v.Members {
		if member.Running() && (region == "" || member.Region == region) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// Home returns the home of a base model: the owner by rendezvous hashing in this
// daemon's region if the model is served there, and otherwise in the first of
// its regions that has running members.
func (v *View) Home(model string, regions []string) (Member, bool) {
	own := v.Self().Region
	ordered := make([]string, 0, len(regions))
	for _, region := range regions {
		if region == own {
			ordered = append([]string{region}, ordered...)
		} else {
			ordered = append(ordered, region)
		}
	}
	for _, region := range ordered {
		if owner, found := rendezvous.Owner("home/"+model, v.RunningIn(region)); found {
			return v.Member(owner)
		}
	}
	return Member{}, false
}

// Placer returns the member that should place for a region.
func (v *View) Placer(region string) (Member, bool) {
	owner, found := rendezvous.Owner("placer/"+region, v.RunningIn(region))
	if !found {
		return Member{}, false
	}
	return v.Member(owner)
}

// IsSettingsWatcher tells whether this daemon is one of the first count members
// of its zone that follow the key-value service for the others.
func (v *View) IsSettingsWatcher(count int) bool {
	self := v.Self()
	var zone []string
	for _, member := range v.Members {
		if member.Running() && member.Zone == self.Zone {
			zone = append(zone, member.ID)
		}
	}
	ranked := rendezvous.Ranked("settings/"+self.Zone, zone)
	for _, id := range ranked[:min(count, len(ranked))] {
		if id == v.SelfID {
			return true
		}
	}
	return false
}
