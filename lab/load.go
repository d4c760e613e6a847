package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/gateway"
	"github.com/finchspoke/finchspoke/standin/engines"
)

// LoadOptions configures a load generator run.
type LoadOptions struct {
	Addresses []string // of gateways, used round-robin
	Key       string
	Models    []string // requested round-robin
	Rate      float64  // requests per second
	Duration  time.Duration
	Tokens    int
	Class     string
	Deadline  time.Duration
}

// Quantiles summarizes a latency distribution, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p99_9_ms"`
	Max  float64 `json:"max_ms"`
}

// LoadReport is the result of a load generator run. Latencies count from the scheduled send time of a request,
// which avoids coordinated omission.
type LoadReport struct {
	Sent      int            `json:"sent"`
	Complete  int            `json:"whole"`
	Wrong     int            `json:"wrong"` // complete, but with the tokens of another request
	Outcomes  map[string]int `json:"outcomes"`
	FirstByte Quantiles      `json:"first_byte"`
	Total     Quantiles      `json:"total"`
	Seconds   float64        `json:"seconds"`
}

const (
	// Histograms record microseconds, with three significant digits.
	histogramMinMicros = 1
	histogramMaxMicros = int64(24 * time.Hour / time.Microsecond)
	histogramDigits    = 3
	maxLoadRequests    = 2_000_000
	maxIdleConnections = 4096
	responseGrace      = 10 * time.Second
)

// loadRun collects the results of a run.
type loadRun struct {
	LoadOptions
	client    *http.Client
	mutex     sync.Mutex
	report    LoadReport
	firstByte *hdrhistogram.Histogram
	total     *hdrhistogram.Histogram
}

// GenerateLoad sends requests at a fixed rate, regardless of response times (open loop).
func GenerateLoad(ctx context.Context, options LoadOptions) (LoadReport, error) {
	count := int(options.Rate * options.Duration.Seconds())
	if options.Rate <= 0 || count < 1 || count > maxLoadRequests {
		return LoadReport{}, errors.Errorf("rate times duration must be 1 to %d requests", maxLoadRequests)
	}
	run := &loadRun{
		LoadOptions: options,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxIdleConns: maxIdleConnections}},
		report:      LoadReport{Outcomes: map[string]int{}},
		firstByte:   hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits),
		total:       hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits),
	}
	defer run.client.CloseIdleConnections()
	start := time.Now()
	var inFlight sync.WaitGroup
	for number := range count {
		due := start.Add(time.Duration(float64(number) / options.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(due)):
		}
		if ctx.Err() != nil {
			break
		}
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			run.sendOne(ctx, number, due)
		}()
	}
	inFlight.Wait()
	run.report.Seconds = time.Since(start).Seconds()
	run.report.FirstByte, run.report.Total = quantiles(run.firstByte), quantiles(run.total)
	return run.report, nil
}

func (r *loadRun) sendOne(ctx context.Context, number int, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.Deadline+responseGrace))
	defer cancel()
	model := r.Models[number%len(r.Models)]
	prompt := fmt.Sprintf("load request %d at %d", number, due.UnixNano())
	sent := time.Now()
	response, err := SendRequest(ctx, RequestOptions{
		Address: r.Addresses[number%len(r.Addresses)], Key: r.Key, Model: model, Prompt: prompt, MaxTokens: r.Tokens, Stream: true,
		Headers: map[string]string{gateway.HeaderClass: r.Class, gateway.HeaderDeadline: r.Deadline.String()}, Client: r.client,
	})
	sendDelay := sent.Sub(due)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report.Sent++
	r.report.Outcomes[outcomeOf(response, err)]++
	if err != nil || !response.Complete {
		return
	}
	r.report.Complete++
	if response.Text != strings.Join(engines.Completion(model, prompt, r.Tokens), "") {
		r.report.Wrong++
	}
	_ = r.firstByte.RecordValue((sendDelay + response.FirstByte).Microseconds()) // the deadline keeps it within the range
	_ = r.total.RecordValue((sendDelay + response.Total).Microseconds())
}

// outcomeOf classifies a request as answered, as failed with CODE/EXECUTION of the error, or as broken.
func outcomeOf(response Completion, err error) string {
	if err == nil && response.Complete {
		return "answered"
	}
	var body struct {
		Error struct {
			Code      string `json:"code"`
			Execution string `json:"execution"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(response.Text), &body) == nil && body.Error.Code != "" {
		return body.Error.Code + "/" + body.Error.Execution
	}
	return "broken"
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: at(100)}
}

// WriteText writes the report as text.
func (r LoadReport) WriteText(writer io.Writer) error {
	names := make([]string, 0, len(r.Outcomes))
	for name := range r.Outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	lines := []string{fmt.Sprintf("sent %d in %.1f s; complete %d, wrong %d", r.Sent, r.Seconds, r.Complete, r.Wrong)}
	for _, name := range names {
		lines = append(lines, fmt.Sprintf("  %-40s %d", name, r.Outcomes[name]))
	}
	lines = append(lines, "first byte  "+r.FirstByte.String(), "complete    "+r.Total.String())
	_, err := fmt.Fprintln(writer, strings.Join(lines, "\n"))
	return errors.Wrap(err, "write report")
}

// String formats the quantiles on one line.
func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %.1f  p95 %.1f  p99 %.1f  p99.9 %.1f  max %.1f ms", q.P50, q.P95, q.P99, q.P999, q.Max)
}
