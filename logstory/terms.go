package logstory

import (
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/logging"
)

// LeaderChange is two consecutive load orders of different leaders to one replica.
type LeaderChange struct {
	Replica      string `json:"replica"`
	Earlier      string `json:"earlier"` // daemon
	EarlierFence string `json:"earlier_fence"`
	Later        string `json:"later"`
	LaterFence   string `json:"later_fence"`
	// Gap is the least time between the arrivals of the two orders: from the response to the earlier one to the sending of the
	// later one.
	Gap time.Duration `json:"gap_ns"`
}

// TermChanges counts the changes of leaders by how the later leader's term began.
type TermChanges struct {
	Began   string `json:"began"` // see election.Way; empty if the lines do not tell
	Changes int    `json:"changes"`
	// Reversed counts orders with a lower fencing token than the one before.
	Reversed int          `json:"reversed"`
	Least    LeaderChange `json:"least"`
}

// CountTermChanges finds the load orders of different leaders to each replica, from lines in order of time.
func CountTermChanges(lines []Line) []TermChanges {
	began := map[string]string{} // by fencing token
	for _, line := range lines {
		if line.Message == logging.MessageTermStarted {
			began[line.text(logging.Fence)] = line.text(logging.Began)
		}
	}
	latest := map[string]Line{} // order by replica
	changes := map[string]*TermChanges{}
	for _, line := range lines {
		if line.Message != logging.MessageLoadOrder {
			continue
		}
		replica := line.text(logging.Replica)
		before, found := latest[replica]
		latest[replica] = line
		if found && before.Daemon != line.Daemon {
			countTermChange(changes, began[line.text(logging.Fence)], before, line)
		}
	}
	counted := make([]TermChanges, 0, len(changes))
	for _, change := range changes {
		counted = append(counted, *change)
	}
	slices.SortFunc(counted, func(a, b TermChanges) int { return int(a.Least.Gap - b.Least.Gap) })
	return counted
}

func countTermChange(changes map[string]*TermChanges, began string, earlier, later Line) {
	change := LeaderChange{
		Replica: later.text(logging.Replica), Earlier: earlier.Daemon, EarlierFence: earlier.text(logging.Fence), Later: later.Daemon, LaterFence: later.text(logging.Fence),
		Gap: later.Time.Sub(earlier.Time) - time.Duration(later.number(logging.TookMs))*time.Millisecond,
	}
	counted := changes[began]
	if counted == nil {
		counted = &TermChanges{Began: began, Least: change}
		changes[began] = counted
	}
	counted.Changes++
	if later.number(logging.Fence) < earlier.number(logging.Fence) {
		counted.Reversed++
	}
	if change.Gap < counted.Least.Gap {
		counted.Least = change
	}
}
