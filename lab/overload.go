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

// OverloadOptions configures a measurement at and beyond capacity.
type OverloadOptions struct {
	Multiples []float64 // of capacity
	Duration  time.Duration
	Log       logrus.FieldLogger
}

// OverloadStep is the result at one multiple of capacity, by class.
type OverloadStep struct {
	Multiple float64               `json:"multiple"`
	Classes  map[string]LoadReport `json:"classes"`
}

// OverloadReport holds the results at all multiples of capacity.
type OverloadReport struct {
	CapacityPerSecond float64        `json:"capacity_requests_per_second"`
	Steps             []OverloadStep `json:"steps"`
}

const (
	overloadKey      = "overload-key"
	overloadModel    = "loaded"
	overloadReplicas = 2
	overloadMaxBatch = 8
	overloadTokens   = 20
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

// overloadClasses lists each class with its share of the load and its deadline. Interactive load alone stays below
// capacity at multiples up to 4.
var overloadClasses = []struct {
	name     string
	share    float64
	deadline time.Duration
}{
	{"interactive", 0.2, 2 * time.Second},
	{"standard", 0.4, 5 * time.Second},
	{"bulk", 0.4, 10 * time.Second},
}

// MeasureOverload sends requests of all classes concurrently, at each multiple of the engines' capacity.
func MeasureOverload(ctx context.Context, options OverloadOptions) (OverloadReport, error) {
	perRequest := time.Duration(overloadTokens+1) * overloadStepTime
	report := OverloadReport{CapacityPerSecond: overloadReplicas * overloadMaxBatch / perRequest.Seconds()}
	tree, err := settings.Parse(settings.Source{Name: "overload", Data: fmt.Appendf(nil, overloadTree, settings.HashKey(overloadKey))})
	if err != nil {
		return report, err
	}
	timing := engines.DefaultTiming()
	timing.StepTime, timing.MaxBatch = overloadStepTime, overloadMaxBatch
	system, err := StartSystem(Options{Tree: tree, Timing: timing, WeightBytesPerSecond: devWeightBytesPerSecond, Log: options.Log,
		Daemons: []Location{{"here", "zone-1"}, {"here", "zone-2"}, {"here", "zone-3"}}})
	if err != nil {
		return report, err
	}
	defer system.Stop()
	if err := system.Apply(ctx); err != nil {
		return report, err
	}
	if _, err := system.sendAllClasses(ctx, report.CapacityPerSecond/2, time.Second); err != nil { // warm-up
		return report, err
	}
	for _, multiple := range options.Multiples {
		classes, err := system.sendAllClasses(ctx, multiple*report.CapacityPerSecond, options.Duration)
		if err != nil {
			return report, err
		}
		report.Steps = append(report.Steps, OverloadStep{multiple, classes})
	}
	return report, nil
}

// sendAllClasses sends requests of all classes concurrently; rate is their total.
func (s *System) sendAllClasses(ctx context.Context, rate float64, duration time.Duration) (map[string]LoadReport, error) {
	var addresses []string
	for _, d := range s.Daemons {
		addresses = append(addresses, d.Addresses().Gateway)
	}
	reports := make([]LoadReport, len(overloadClasses))
	failures := make([]error, len(overloadClasses))
	var inFlight sync.WaitGroup
	for index, class := range overloadClasses {
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			reports[index], failures[index] = GenerateLoad(ctx, LoadOptions{Addresses: addresses, Key: overloadKey, Models: []string{overloadModel},
				Rate: rate * class.share, Duration: duration, Tokens: overloadTokens, Class: class.name, Deadline: class.deadline})
		}()
	}
	inFlight.Wait()
	classes := map[string]LoadReport{}
	for index, class := range overloadClasses {
		if failures[index] != nil {
			return nil, failures[index]
		}
		classes[class.name] = reports[index]
	}
	return classes, nil
}

// WriteText writes the report as text.
func (r OverloadReport) WriteText(writer io.Writer) error {
	lines := []string{fmt.Sprintf("capacity %.1f requests per second", r.CapacityPerSecond)}
	for _, step := range r.Steps {
		for _, class := range overloadClasses {
			result := step.Classes[class.name]
			failed := result.Sent - result.Complete
			lines = append(lines, fmt.Sprintf("%4.1fx %-12s sent %4d, complete %4d (%.1f/s), rejected or late %4d, wrong %d; first byte p50 %.0f p99 %.0f p99.9 %.0f ms; complete max %.0f ms %v",
				step.Multiple, class.name, result.Sent, result.Complete, float64(result.Complete)/result.Seconds, failed, result.Wrong,
				result.FirstByte.P50, result.FirstByte.P99, result.FirstByte.P999, result.Total.Max, result.Outcomes))
		}
	}
	_, err := fmt.Fprintln(writer, strings.Join(lines, "\n"))
	return errors.Wrap(err, "write report")
}
