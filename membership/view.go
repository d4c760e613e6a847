package membership

import (
	"github.com/finchspoke/finchspoke/rendezvous"
)

// View is an immutable snapshot of the members as known to a daemon.
type View struct {
	SelfID  string
	Members []Member // sorted by id, including this daemon
}

// Member returns the member with an id, if it is known.
func (v *View) Member(id string) (Member, bool) {
	for _, member := range v.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Self returns the member that is this daemon.
func (v *View) Self() Member {
	self, _ := v.Member(v.SelfID)
	return self
}

// RunningIn returns the ids of running members in a region, or in all regions if region
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

// Home returns the daemon that queues requests for a base model. Rendezvous hashing
// selects it in this daemon's region if the model is served there, otherwise in the
// first of the model's regions that has running members.
func (v *View) Home(model string, regions []string) (Member, bool) {
	ownRegion := v.Self().Region
	ordered := make([]string, 0, len(regions))
	for _, region := range regions {
		if region == ownRegion {
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

// Placer returns the member that is responsible for placement in a region.
func (v *View) Placer(region string) (Member, bool) {
	owner, found := rendezvous.Owner("placer/"+region, v.RunningIn(region))
	if !found {
		return Member{}, false
	}
	return v.Member(owner)
}

// IsSettingsWatcher reports whether this daemon is one of the count members of its zone
// that watch the key-value service for settings on behalf of the others.
func (v *View) IsSettingsWatcher(count int) bool {
	self := v.Self()
	var zoneIDs []string
	for _, member := range v.Members {
		if member.Running() && member.Zone == self.Zone {
			zoneIDs = append(zoneIDs, member.ID)
		}
	}
	ranked := rendezvous.Ranked("settings/"+self.Zone, zoneIDs)
	for _, id := range ranked[:min(count, len(ranked))] {
		if id == v.SelfID {
			return true
		}
	}
	return false
}
