package lab

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/settings"
)

// ControlOptions configures a measurement of the control plane with many daemons in one process.
type ControlOptions struct {
	Daemons      int
	Changes      int           // settings changes applied sequentially
	IdleDuration time.Duration // period over which the idle cost is measured
	Log          logrus.FieldLogger
}

// ControlReport is the cost and speed of the control plane.
type ControlReport struct {
	Daemons            int       `json:"daemons"`
	JoinSeconds        float64   `json:"join_seconds"` // until every daemon lists all members
	Propagation        Quantiles `json:"spread"`       // from a change to its activation on every daemon
	GossipBytesPerSec  float64   `json:"gossip_bytes_per_second_per_daemon"`
	CPUPercent         float64   `json:"cpu_percent_of_core_per_daemon"`
	HeapBytes          uint64    `json:"heap_bytes_per_daemon"`
	KeyValueWritesIdle float64   `json:"key_value_writes_per_second_idle"`
	// TakeoverSeconds is the time from the abrupt stop of a region's placer until another daemon takes over;
	// zero where the region has only one daemon.
	TakeoverSeconds float64 `json:"take_over_seconds"`
}

const (
	controlTree = `regions:
%s
services:
  - {name: lm, regions: [region-0], replicas: 2, accelerators: 4, accelerator_memory: 24GiB}
branches:
  - name: caller
    share: %d
    models:
      - {name: only, service: lm, version: "1", accelerators: 1, memory: 14GiB}
`
	controlRegions      = 4
	controlZones        = 14
	controlTimeout      = 3 * time.Minute
	controlPollInterval = 2 * time.Millisecond
	maxControlDaemons   = 400
	controlSettleTime   = 10 * time.Second
)

func controlTreeText(share int) string {
	var regions strings.Builder
	for region := range controlRegions {
		var zones []string
		for zone := region; zone < controlZones; zone += controlRegions {
			zones = append(zones, fmt.Sprintf("zone-%d", zone))
		}
		fmt.Fprintf(&regions, "  - name: region-%d\n    zones: [%s]\n    weight_store: {loads_per_second: 2, concurrent_loads: 8}\n",
			region, strings.Join(zones, ", "))
	}
	return fmt.Sprintf(controlTree, regions.String(), share)
}

// MeasureControl runs daemons in 4 regions and 14 zones in this process and measures the control plane.
func MeasureControl(ctx context.Context, options ControlOptions) (ControlReport, error) {
	if options.Daemons < 1 || options.Daemons > maxControlDaemons {
		return ControlReport{}, errors.Errorf("the number of daemons must be 1 to %d", maxControlDaemons)
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	tree, err := settings.Parse(settings.Source{Name: "control", Data: []byte(controlTreeText(1))})
	if err != nil {
		return ControlReport{}, err
	}
	locations := make([]Location, options.Daemons)
	for number := range locations {
		zone := number % controlZones
		locations[number] = Location{Region: fmt.Sprintf("region-%d", zone%controlRegions), Zone: fmt.Sprintf("zone-%d", zone)}
	}
	system, err := StartSystem(Options{Tree: tree, Daemons: locations, Timing: FastTiming(), WeightBytesPerSecond: devWeightBytesPerSecond, Log: options.Log, LimitPeers: true})
	if err != nil {
		return ControlReport{}, err
	}
	defer system.Stop()
	report := ControlReport{Daemons: options.Daemons}
	start := time.Now()
	if err := system.Apply(ctx); err != nil {
		return report, err
	}
	report.JoinSeconds = time.Since(start).Seconds()
	if err := system.measurePropagation(ctx, options.Changes, &report); err != nil {
		return report, err
	}
	if err := system.measureIdle(ctx, options.IdleDuration, &report); err != nil {
		return report, err
	}
	return report, system.measureTakeover(ctx, &report)
}

// measureTakeover stops a region's placer and measures the time until another daemon takes over.
func (s *System) measureTakeover(ctx context.Context, report *ControlReport) error {
	const region = "region-0"
	regionDaemons := 0
	placerID := ""
	for index, d := range s.Daemons {
		if s.options.Daemons[index].Region != region {
			continue
		}
		regionDaemons++
		if d.PlacerEpoch() > 0 {
			placerID = d.ID()
		}
	}
	if regionDaemons < 2 || placerID == "" {
		return nil
	}
	start := time.Now()
	s.cancels[placerID]()
	for ctx.Err() == nil {
		for index, d := range s.Daemons {
			if s.options.Daemons[index].Region == region && d.ID() != placerID && d.PlacerEpoch() > 0 {
				report.TakeoverSeconds = time.Since(start).Seconds()
				return nil
			}
		}
		time.Sleep(controlPollInterval)
	}
	return errors.Wrap(ctx.Err(), "no other daemon became the placer")
}

// measurePropagation applies settings changes and measures the time until each is active on every daemon.
func (s *System) measurePropagation(ctx context.Context, changes int, report *ControlReport) error {
	times := hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits)
	client := adminapi.Client{Address: s.Daemons[0].Addresses().Admin}
	for change := range changes {
		var accepted adminapi.Revision
		start := time.Now()
		err := client.Post(ctx, adminapi.PathSettingsApply, adminapi.ApplyRequest{BaseRevision: uint64(change + 1), OperationID: uuid.NewString(),
			Author: "lab", YAML: controlTreeText(change + 2)}, &accepted)
		if err != nil {
			return err
		}
		for _, d := range s.Daemons {
			for d.SettingsRevision() < accepted.Number {
				if ctx.Err() != nil {
					return errors.Wrapf(ctx.Err(), "revision %d is not active on %s", accepted.Number, d.ID())
				}
				time.Sleep(controlPollInterval)
			}
		}
		_ = times.RecordValue(time.Since(start).Microseconds()) // within range
	}
	report.Propagation = quantiles(times)
	return nil
}

// measureIdle measures the cost of a daemon without requests.
func (s *System) measureIdle(ctx context.Context, duration time.Duration, report *ControlReport) error {
	pause := func(wait time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	pause(controlSettleTime)
	runtime.GC()
	before, cpuBefore, writesBefore := s.gossipBytes(), processCPU(), s.KeyValue.History.Count()
	pause(duration)
	seconds, daemons := duration.Seconds(), float64(len(s.Daemons))
	report.GossipBytesPerSec = float64(s.gossipBytes()-before) / seconds / daemons
	const percent = 100
	report.CPUPercent = (processCPU() - cpuBefore).Seconds() / seconds / daemons * percent
	report.KeyValueWritesIdle = float64(s.KeyValue.History.Count()-writesBefore) / seconds
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	report.HeapBytes = memory.HeapAlloc / uint64(len(s.Daemons))
	return ctx.Err()
}

// gossipBytes returns the gossip traffic of all daemons, sent and received.
func (s *System) gossipBytes() uint64 {
	total := uint64(0)
	for _, d := range s.Daemons {
		sent, received := d.GossipTraffic()
		total += sent + received
	}
	return total
}

// processCPU returns the CPU time that this process has used.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// WriteText writes the report as text.
func (r ControlReport) WriteText(writer io.Writer) error {
	lines := []string{
		fmt.Sprintf("%d daemons; membership complete after %.1f s", r.Daemons, r.JoinSeconds),
		"change active on all daemons  " + r.Propagation.String(),
		fmt.Sprintf("idle, per daemon: %.0f B/s of gossip (sent and received), %.2f%% of a core, %.2f MB of heap",
			r.GossipBytesPerSec, r.CPUPercent, float64(r.HeapBytes)/float64(settings.MiB)),
		fmt.Sprintf("key-value writes, idle, all daemons: %.2f per second", r.KeyValueWritesIdle),
		fmt.Sprintf("placer stopped abruptly; another took over after %.1f s", r.TakeoverSeconds),
	}
	_, err := fmt.Fprintln(writer, strings.Join(lines, "\n"))
	return errors.Wrap(err, "write report")
}
