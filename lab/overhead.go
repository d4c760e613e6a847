package lab

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/gateway"
	"github.com/finchspoke/finchspoke/lab/processes"
	"github.com/finchspoke/finchspoke/machinelist"
	"github.com/finchspoke/finchspoke/settings"
)

// OverheadOptions describe a measurement of what finchspoke adds.
type OverheadOptions struct {
	BinDirectory string // directory of the built programs
	Requests     int    // of each kind, for the times
	Streams      int    // long streams, for the cost of a token
	Tokens       int    // of each long stream
}

// OverheadReport compares requests through two daemons with requests sent to the
// engine stand-in directly, in turn in one run.
type OverheadReport struct {
	Direct                    Quantiles `json:"direct_first_token"`
	Proxied                   Quantiles `json:"through_first_token"`
	Keyed                     Quantiles `json:"keyed_first_token"` // through, with an idempotency key
	DirectPerTokenMs          float64   `json:"direct_per_token_ms"`
	ProxiedPerTokenMs         float64   `json:"through_per_token_ms"`
	GatewayCPUPerRequestUs    float64   `json:"gateway_cpu_us_per_request"`
	HomeCPUPerRequestUs       float64   `json:"home_cpu_us_per_request"`
	GatewayCPUPer1000TokensMs float64   `json:"gateway_cpu_ms_per_1000_tokens"`
	GatewayResidentBytes      uint64    `json:"gateway_resident_bytes"`
}

const (
	overheadKey   = "overhead-key"
	overheadModel = "measured"
	overheadTree  = `regions:
  - name: here
    zones: [zone-1, zone-2]
    weight_store: {loads_per_second: 20, concurrent_loads: 8}
services:
  - {name: lm, regions: [here], replicas: 1, accelerators: 1, accelerator_memory: 24GiB}
branches:
  - name: caller
    keys: [%s]
    class: interactive
    placement: {concurrency: 64, min_replicas: 1}
    models:
      - {name: measured, service: lm, version: "1", accelerators: 1, memory: 14GiB}
`
	overheadTokens = 16
	overheadStep   = "1ms"
	warmRequests   = 200
	overheadStart  = 30 * time.Second
)

// overheadRun is a running measurement.
type overheadRun struct {
	OverheadOptions
	engine  *processes.Process
	gateway *processes.Daemon // not the model's home
	home    *processes.Daemon
	number  int
}

// Overhead measures on real processes that it starts on loopback.
func MeasureOverhead(ctx context.Context, options OverheadOptions) (OverheadReport, error) {
	cluster := &processes.Cluster{Directory: options.BinDirectory}
	defer cluster.Stop()
	run := &overheadRun{OverheadOptions: options}
	if err := run.start(ctx, cluster); err != nil {
		return OverheadReport{}, err
	}
	var report OverheadReport
	if err := run.times(ctx, &report); err != nil {
		return report, err
	}
	return report, run.costs(ctx, &report)
}

func (r *overheadRun) start(ctx context.Context, cluster *processes.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, overheadStart)
	defer cancel()
	keyValue, err := cluster.Standin("key-value")
	if err != nil {
		return err
	}
	machines, err := cluster.Standin("machines")
	if err != nil {
		return err
	}
	weights, err := cluster.Standin("weights", "--bandwidth", "100GiB", "--loads-per-second", "20")
	if err != nil {
		return err
	}
	r.engine, err = cluster.Standin("engine", "--id", "engine-1", "--weight-store", weights.Address, "--accelerators", "1", "--step", overheadStep)
	if err != nil {
		return err
	}
	err = processes.AddMachine(ctx, machines.Address, machinelist.Machine{ID: "engine-1", Address: r.engine.Address,
		Region: "here", Zone: "zone-1", Service: "lm", State: machinelist.Live})
	if err != nil {
		return err
	}
	daemons, err := startDaemons(cluster, keyValue.Address, machines.Address)
	if err != nil {
		return err
	}
	if _, err := processes.ApplySettings(ctx, daemons[0].Admin, 0, fmt.Sprintf(overheadTree, settings.HashKey(overheadKey))); err != nil {
		return err
	}
	for _, started := range daemons {
		if err := processes.WaitReady(ctx, started.Admin, 1, len(daemons)); err != nil {
			return err
		}
	}
	return r.findHome(ctx, daemons)
}

func startDaemons(cluster *processes.Cluster, keyValue, machines string) ([]*processes.Daemon, error) {
	var daemons []*processes.Daemon
	for number := range 2 {
		arguments := []string{"--region", "here", "--zone", fmt.Sprintf("zone-%d", number+1), "--key-value", keyValue,
			"--machine-list", machines, "--log-level", "info"}
		for _, peer := range daemons {
			arguments = append(arguments, "--peer", peer.RPC)
		}
		started, err := cluster.Daemon(fmt.Sprintf("daemon-%d", number+1), arguments...)
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, started)
	}
	return daemons, nil
}

// findHome tells the daemons apart by who is home to the model.
func (r *overheadRun) findHome(ctx context.Context, daemons []*processes.Daemon) error {
	r.gateway, r.home = daemons[0], daemons[1]
	answer, err := r.ask(ctx, through, 1)
	if err != nil {
		return err
	}
	if answer.Header.Get(gateway.HeaderHome) == daemons[0].Name {
		r.gateway, r.home = daemons[1], daemons[0]
	}
	for range warmRequests {
		for way := range overheadWays {
			if _, err := r.ask(ctx, way, overheadTokens); err != nil {
				return err
			}
		}
	}
	return nil
}

// overheadWay is how a request is sent.
type overheadWay int

const (
	direct overheadWay = iota
	through
	keyed
	overheadWays
)

// ask sends one stream, through the daemons or to the engine directly.
func (r *overheadRun) ask(ctx context.Context, way overheadWay, tokens int) (Completion, error) {
	r.number++
	address := r.gateway.Gateway
	headers := map[string]string{}
	switch way {
	case direct:
		address = r.engine.Address
	case keyed:
		headers[gateway.HeaderIdempotencyKey] = uuid.NewString()
	}
	answer, err := SendRequest(ctx, RequestOptions{Address: address, Key: overheadKey, Model: overheadModel,
		Prompt: fmt.Sprintf("request %d", r.number), MaxTokens: tokens, Stream: true, Headers: headers})
	if err == nil && !answer.Complete {
		err = errors.Errorf("request %d ended with status %d: %s", r.number, answer.Status, answer.Text)
	}
	return answer, err
}

// times sends requests both ways in turn.
func (r *overheadRun) times(ctx context.Context, report *OverheadReport) error {
	var first [overheadWays]*hdrhistogram.Histogram
	var perToken [overheadWays]time.Duration
	for way := range first {
		first[way] = hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
	}
	for range r.Requests {
		for way := range first {
			answer, err := r.ask(ctx, overheadWay(way), overheadTokens)
			if err != nil {
				return err
			}
			_ = first[way].RecordValue(answer.FirstByte.Microseconds()) // within range
			perToken[way] += (answer.Total - answer.FirstByte) / (overheadTokens - 1)
		}
	}
	report.Direct, report.Proxied, report.Keyed = quantiles(first[direct]), quantiles(first[through]), quantiles(first[keyed])
	report.DirectPerTokenMs = milliseconds(perToken[direct]) / float64(r.Requests)
	report.ProxiedPerTokenMs = milliseconds(perToken[through]) / float64(r.Requests)
	return nil
}

// costs reads the daemons' processor time around many short requests, then
// around long streams.
func (r *overheadRun) costs(ctx context.Context, report *OverheadReport) error {
	gatewayRequest, homeRequest, err := r.spend(ctx, r.Requests, 1)
	if err != nil {
		return err
	}
	gatewayStream, _, err := r.spend(ctx, r.Streams, r.Tokens)
	if err != nil {
		return err
	}
	usage, err := r.gateway.Usage(ctx)
	if err != nil {
		return err
	}
	perRequest := gatewayRequest / time.Duration(r.Requests)
	report.GatewayCPUPerRequestUs = float64(perRequest.Microseconds())
	report.HomeCPUPerRequestUs = float64((homeRequest / time.Duration(r.Requests)).Microseconds())
	streams := gatewayStream - time.Duration(r.Streams)*perRequest
	const thousand = 1000
	report.GatewayCPUPer1000TokensMs = milliseconds(streams) * thousand / float64(r.Streams*r.Tokens)
	report.GatewayResidentBytes = usage.ResidentBytes
	return nil
}

// spend returns the processor time that requests cost the two daemons.
func (r *overheadRun) spend(ctx context.Context, requests, tokens int) (atGateway, atHome time.Duration, err error) {
	read := func() (gatewayCPU, homeCPU time.Duration, err error) {
		first, err := r.gateway.Usage(ctx)
		if err != nil {
			return 0, 0, err
		}
		second, err := r.home.Usage(ctx)
		return first.CPU, second.CPU, err
	}
	gatewayBefore, homeBefore, err := read()
	if err != nil {
		return 0, 0, err
	}
	for range requests {
		if _, err := r.ask(ctx, through, tokens); err != nil {
			return 0, 0, err
		}
	}
	gatewayAfter, homeAfter, err := read()
	return gatewayAfter - gatewayBefore, homeAfter - homeBefore, err
}

// WriteText writes the report for people.
func (r OverheadReport) WriteText(writer io.Writer) error {
	lines := []string{
		"first token, direct   " + r.Direct.String(),
		"first token, through  " + r.Proxied.String(),
		"first token, keyed    " + r.Keyed.String(),
		fmt.Sprintf("added to the first token: p50 %.3f ms, p99 %.3f ms", r.Proxied.P50-r.Direct.P50, r.Proxied.P99-r.Direct.P99),
		fmt.Sprintf("time between tokens: direct %.3f ms, through %.3f ms", r.DirectPerTokenMs, r.ProxiedPerTokenMs),
		fmt.Sprintf("processor time: gateway %.0f us and home %.0f us a request; gateway %.2f ms per 1000 tokens",
			r.GatewayCPUPerRequestUs, r.HomeCPUPerRequestUs, r.GatewayCPUPer1000TokensMs),
		fmt.Sprintf("gateway's resident memory %.1f MB", float64(r.GatewayResidentBytes)/float64(settings.MiB)),
	}
	_, err := fmt.Fprintln(writer, strings.Join(lines, "\n"))
	return errors.Wrap(err, "write report")
}
