package scale

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/node"
)

// Propagation holds the seconds until a change had reached half, 90 percent and all of the daemons.
type Propagation struct {
	P50 float64 `json:"half"`
	P90 float64 `json:"ninety_in_100"`
	All float64 `json:"all"`
}

func newPropagation(times []time.Duration, daemons int) Propagation {
	at := func(share float64) float64 {
		index := min(len(times), max(1, int(share*float64(daemons)))) - 1
		if index < 0 {
			return 0
		}
		return times[index].Seconds()
	}
	slices.Sort(times)
	return Propagation{at(0.5), at(0.9), at(1)}
}

// RoleUsage is the mean cost of a daemon in a role.
type RoleUsage struct {
	Daemons        int     `json:"daemons"`
	BytesPerSecond float64 `json:"bytes_per_second"` // sent and received on inbound peer connections
	Connections    float64 `json:"connections"`      // inbound peer connections
	Replicas       float64 `json:"replicas"`         // in the daemon's records
}

// Report holds the measurements of a fleet.
type Report struct {
	Daemons  int `json:"daemons"`
	Replicas int `json:"replicas"`
	Models   int `json:"models"`

	LeaderRole    RoleUsage `json:"holder"`
	DirectoryRole RoleUsage `json:"directory"`
	OtherRole     RoleUsage `json:"other"`

	CPUShare            float64 `json:"cpu_share_per_daemon"` // of a core
	HeapBytes           uint64  `json:"heap_bytes_per_daemon"`
	StoreCallsPerSecond float64 `json:"store_calls_per_second"`

	Start           Propagation `json:"start"`
	ConfigChange    Propagation `json:"configuration_in_force"`
	ReplicaAdded    Propagation `json:"replica_known"`
	ReplicaRemoved  Propagation `json:"replica_gone"`
	StoreRestored   Propagation `json:"store_restored"` // until a configuration written after the restore is active
	NextTermSeconds float64     `json:"next_term"`
	LeaderLost      Propagation `json:"holder_lost"`
	AllLost         Propagation `json:"all_lost"`
	// RestoreCalls and RestoreBytes count the calls and response bytes of the key-value service until StoreRestored.
	RestoreCalls int `json:"store_restored_store_calls"`
	RestoreBytes int `json:"store_restored_store_bytes"`
	// AllLostCalls and AllLostBytes count the same while all daemons restart.
	AllLostCalls int `json:"all_lost_store_calls"`
	AllLostBytes int `json:"all_lost_store_bytes"`
}

// add includes a daemon in the means of its role.
func (r *Report) add(status node.Status, bytesPerSecond float64) {
	role := &r.OtherRole
	switch {
	case status.Fence != 0:
		role = &r.LeaderRole
	case status.KnowsAllReplicas:
		role = &r.DirectoryRole
	}
	role.Daemons++
	weight := 1 / float64(role.Daemons)
	role.BytesPerSecond += weight * (bytesPerSecond - role.BytesPerSecond)
	role.Connections += weight * (float64(status.PeerTraffic.Connections) - role.Connections)
	role.Replicas += weight * (float64(status.Replicas) - role.Replicas)
}

// WriteText writes the report as text.
func (r Report) WriteText(writer io.Writer) error {
	lines := []string{fmt.Sprintf("%d daemons, %d replicas, %d models", r.Daemons, r.Replicas, r.Models)}
	for _, role := range []struct {
		name string
		RoleUsage
	}{{"leader", r.LeaderRole}, {"directories", r.DirectoryRole}, {"other daemons", r.OtherRole}} {
		lines = append(lines, fmt.Sprintf("%-15s %4d; each %8.1f KB/s on %6.1f inbound peer connections, %7.0f replica records",
			role.name, role.Daemons, role.BytesPerSecond/1000, role.Connections, role.Replicas))
	}
	lines = append(lines,
		fmt.Sprintf("mean daemon     %.2f%% of a core, %.2f MB of heap and stacks; key-value service %.1f calls/s", 100*r.CPUShare, float64(r.HeapBytes)/1e6, r.StoreCallsPerSecond),
		fmt.Sprintf("next leader     after %.2f s; all daemons attached after %.2f s more", r.NextTermSeconds, r.LeaderLost.All))
	for _, event := range []struct {
		name string
		Propagation
	}{{"configuration", r.ConfigChange}, {"new replica", r.ReplicaAdded}, {"removed replica", r.ReplicaRemoved}, {"restored store", r.StoreRestored}, {"full restart", r.AllLost}} {
		lines = append(lines, fmt.Sprintf("%-15s p50 %.2f s, p90 %.2f s, all %.2f s", event.name, event.P50, event.P90, event.All))
	}
	lines = append(lines, fmt.Sprintf("after a restore %d calls and %.1f MB of responses at the key-value service", r.RestoreCalls, float64(r.RestoreBytes)/1e6))
	lines = append(lines, fmt.Sprintf("after a restart %d calls and %.1f MB of responses at the key-value service", r.AllLostCalls, float64(r.AllLostBytes)/1e6))
	_, err := fmt.Fprintln(writer, strings.Join(lines, "\n"))
	return errors.Wrap(err, "write report")
}

// processTime returns the CPU time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
