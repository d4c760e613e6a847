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

// LoadOptions describe a load.
type LoadOptions struct {
	Addresses []string // of gateways, used in turn
	Key       string
	Models    []string // asked in turn
	Rate      float64  // requests a second
	Duration  time.Duration
	Tokens    int
	Class     string
	Deadline  time.Duration
}

// Quantiles are times in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p99_9_ms"`
	Max  float64 `json:"max_ms"`
}

// LoadReport is what came of a load. Times count from when a request was due, so
// that a late sender does not hide a slow system.
type LoadReport struct {
	Sent      int            `json:"sent"`
	Complete  int            `json:"whole"`
	Wrong     int            `json:"wrong"` // not the answer to the request asked
	Outcomes  map[string]int `json:"outcomes"`
	FirstByte Quantiles      `json:"first_byte"`
	Total     Quantiles      `json:"total"`
	Seconds   float64        `json:"seconds"`
}

const (
	// histogram range: 1 microsecond to 24 hours, three digits.
	histogramLowest  = 1
	histogramHighest = int64(24 * time.Hour / time.Microsecond)
	histogramDigits  = 3
	maxLoadRequests  = 2_000_000
	idleConnections  = 4096
	answerGrace      = 10 * time.Second
)

// loadRun gathers results.
type loadRun struct {
	LoadOptions
	client    *http.Client
	mutex     sync.Mutex
	report    LoadReport
	firstByte *hdrhistogram.Histogram
	total     *hdrhistogram.Histogram
}

// Load sends requests at a fixed rate, whatever the answers take.
func GenerateLoad(ctx context.Context, options LoadOptions) (LoadReport, error) {
	count := int(options.Rate * options.Duration.Seconds())
	if options.Rate <= 0 || count < 1 || count > maxLoadRequests {
		return LoadReport{}, errors.Errorf("rate times duration must be 1 to %d requests", maxLoadRequests)
	}
	run := &loadRun{
		LoadOptions: options,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, MaxIdleConns: idleConnections}},
		report:      LoadReport{Outcomes: map[string]int{}},
		firstByte:   hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
		total:       hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
	}
	defer run.client.CloseIdleConnections()
	began := time.Now()
	var open sync.WaitGroup
	for number := range count {
		due := began.Add(time.Duration(float64(number) / options.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(due)):
		}
		if ctx.Err() != nil {
			break
		}
		open.Add(1)
		go func() {
			defer open.Done()
			run.one(ctx, number, due)
		}()
	}
	open.Wait()
	run.report.Seconds = time.Since(began).Seconds()
	run.report.FirstByte, run.report.Total = quantiles(run.firstByte), quantiles(run.total)
	return run.report, nil
}

func (r *loadRun) one(ctx context.Context, number int, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.Deadline+answerGrace))
	defer cancel()
	model := r.Models[number%len(r.Models)]
	prompt := fmt.Sprintf("load request %d at %d", number, due.UnixNano())
	sent := time.Now()
	answer, err := SendRequest(ctx, RequestOptions{
		Address: r.Addresses[number%len(r.Addresses)], Key: r.Key, Model: model, Prompt: prompt, MaxTokens: r.Tokens, Stream: true,
		Headers: map[string]string{gateway.HeaderClass: r.Class, gateway.HeaderDeadline: r.Deadline.String()}, Client: r.client,
	})
	late := sent.Sub(due)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report.Sent++
	r.report.Outcomes[outcomeOf(answer, err)]++
	if err != nil || !answer.Complete {
		return
	}
	r.report.Complete++
	if answer.Text != strings.Join(engines.Completion(model, prompt, r.Tokens), "") {
		r.report.Wrong++
	}
	_ = r.firstByte.RecordValue((late + answer.FirstByte).Microseconds()) // within range by the deadline
	_ = r.total.RecordValue((late + answer.Total).Microseconds())
}

// outcomeOf names how a request ended: answered, the error's code, or broken.
func outcomeOf(answer Completion, err error) string {
	if err == nil && answer.Complete {
		return "answered"
	}
	var told struct {
		Error struct {
			Code      string `json:"code"`
			Execution string `json:"execution"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(answer.Text), &told) == nil && told.Error.Code != "" {
		return told.Error.Code + "/" + told.Error.Execution
	}
	return "broken"
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: at(100)}
}

// WriteText writes the report for people.
func (r LoadReport) WriteText(writer io.Writer) error {
	names := make([]string, 0, len(r.Outcomes))
	for name := range r.Outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	lines := []string{fmt.Sprintf("sent %d in %.1f s; whole %d, wrong %d", r.Sent, r.Seconds, r.Complete, r.Wrong)}
	for _, name := range names {
		lines = append(lines, fmt.Sprintf("  %-40s %d", name, r.Outcomes[name]))
	}
	lines = append(lines, "first byte  "+r.FirstByte.String(), "all         "+r.Total.String())
	_, err := fmt.Fprintln(writer, strings.Join(lines, "\n"))
	return errors.Wrap(err, "write report")
}

// String returns the quantiles in one line.
func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %.1f  p95 %.1f  p99 %.1f  p99.9 %.1f  max %.1f ms", q.P50, q.P95, q.P99, q.P999, q.Max)
}
