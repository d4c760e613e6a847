package lab

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/settings"
	"github.com/finchspoke/finchspoke/standin/engines"
)

// OverloadOptions describe a measurement around and beyond capacity.
type OverloadOptions struct {
	Multiples []float64 // of capacity
	Duration  time.Duration
	Log       logrus.FieldLogger
}

// OverloadStep is what came of one multiple, by class.
type OverloadStep struct {
	Multiple float64               `json:"multiple"`
	Classes  map[string]LoadReport `json:"classes"`
}

// OverloadReport is the result of all multiples.
type OverloadReport struct {
	CapacityPerSecond float64        `json:"capacity_requests_per_second"`
	Steps             []OverloadStep `json:"steps"`
}

const (
	overloadKey      = "overload-key"
	overloadModel    = "loaded"
	overloadReplicas = 2
	overloadBatch    = 8
	overloadAnswer   = 20
	overloadStepTime = 20 * time.Millisecond
	overloadTree     = `regions:
  - name: here
    zones: [zone-1, zone-2, zone-3]
    weight_store: {loads_per_second: 20, concurrent_loads: 8}
services:
  - {name: lm, regions: [here], replicas: 2, accelerators: 1, accelerator_memory: 24GiB}
branches:
  - name: caller
    keys: [%s]
    limits: {max_waiting: 100000}
    placement: {concurrency: 8, min_replicas: 2, max_replicas: 2}
    models:
      - {name: loaded, service: lm, version: "1", accelerators: 1, memory: 14GiB}
`
)

// overloadClasses are the classes with their share of the load and their deadline.
// Interactive load alone stays below capacity at every multiple up to 4.
var overloadClasses = []struct {
	name     string
	share    float64
	deadline time.Duration
}{
	{"interactive", 0.2, 2 * time.Second},
	{"standard", 0.4, 5 * time.Second},
	{"bulk", 0.4, 10 * time.Second},
}

// Overload sends all classes together at each multiple of what the engines carry.
func MeasureOverload(ctx context.Context, options OverloadOptions) (OverloadReport, error) {
	perRequest := time.Duration(overloadAnswer+1) * overloadStepTime
	report := OverloadReport{CapacityPerSecond: overloadReplicas * overloadBatch / perRequest.Seconds()}
	tree, err := settings.Parse(settings.Source{Name: "overload", Data: fmt.Appendf(nil, overloadTree, settings.HashKey(overloadKey))})
	if err != nil {
		return report, err
	}
	timing := engines.DefaultTiming()
	timing.StepTime, timing.MaxBatch = overloadStepTime, overloadBatch
	system, err := StartSystem(Options{Tree: tree, Timing: timing, WeightBytesPerSecond: devWeightRate, Log: options.Log,
		Daemons: []Location{{"here", "zone-1"}, {"here", "zone-2"}, {"here", "zone-3"}}})
	if err != nil {
		return report, err
	}
	defer system.Stop()
	if err := system.Apply(ctx); err != nil {
		return report, err
	}
	if _, err := system.overload(ctx, report.CapacityPerSecond/2, time.Second); err != nil { // warms up
		return report, err
	}
	for _, multiple := range options.Multiples {
		classes, err := system.overload(ctx, multiple*report.CapacityPerSecond, options.Duration)
		if err != nil {
			return report, err
		}
		report.Steps = append(report.Steps, OverloadStep{multiple, classes})
	}
	return report, nil
}

// overload sends all classes side by side at a rate in all.
func (s *System) overload(ctx context.Context, rate float64, duration time.Duration) (map[string]LoadReport, error) {
	var addresses []string
	for _, started := range s.Daemons {
		addresses = append(addresses, started.Addresses().Gateway)
	}
	reports := make([]LoadReport, len(overloadClasses))
	failures := make([]error, len(overloadClasses))
	var open sync.WaitGroup
	for index, class := range overloadClasses {
		open.Add(1)
		go func() {
			defer open.Done()
			reports[index], failures[index] = GenerateLoad(ctx, LoadOptions{Addresses: addresses, Key: overloadKey, Models: []string{overloadModel},
				Rate: rate * class.share, Duration: duration, Tokens: overloadAnswer, Class: class.name, Deadline: class.deadline})
		}()
	}
	open.Wait()
	classes := map[string]LoadReport{}
	for index, class := range overloadClasses {
		if failures[index] != nil {
			return nil, failures[index]
		}
		classes[class.name] = reports[index]
	}
	return classes, nil
}

// WriteText writes the report for people.
func (r OverloadReport) WriteText(writer io.Writer) error {
	lines := []string{fmt.Sprintf("capacity %.1f requests a second", r.CapacityPerSecond)}
	for _, step := range r.Steps {
		for _, class := range overloadClasses {
			one := step.Classes[class.name]
			refused := one.Sent - one.Complete
			lines = append(lines, fmt.Sprintf("%4.1fx %-12s sent %4d, whole %4d (%.1f/s), refused or late %4d, wrong %d; first byte p50 %.0f p99 %.0f p99.9 %.0f ms; all max %.0f ms %v",
				step.Multiple, class.name, one.Sent, one.Complete, float64(one.Complete)/one.Seconds, refused, one.Wrong,
				one.FirstByte.P50, one.FirstByte.P99, one.FirstByte.P999, one.Total.Max, one.Outcomes))
		}
	}
	_, err := fmt.Fprintln(writer, strings.Join(lines, "\n"))
	return errors.Wrap(err, "write report")
}
