package daemon

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/settings"
)

const (
	maxApplyBytes        = 64 << 20
	maxOperationID       = 128 // bytes
	adminHeaderTimeout   = 5 * time.Second
	adminShutdownTimeout = 2 * time.Second
)

// adminServer serves the operator interface over HTTP. It is a suture service.
type adminServer struct {
	daemon   *Daemon
	listener net.Listener
}

// String names the service in the supervisor's events.
func (a *adminServer) String() string { return "admin" }

// Serve implements suture.Service.
func (a *adminServer) Serve(ctx context.Context) error {
	server := &http.Server{Handler: a.routes(), ReadHeaderTimeout: adminHeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		closing, cancel := context.WithTimeout(context.Background(), adminShutdownTimeout)
		defer cancel()
		_ = server.Shutdown(closing)
	})
	defer stop()
	err := server.Serve(a.listener)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(err, "serve operator interface")
}

func (a *adminServer) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", a.readyz)
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.daemon.metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+adminapi.PathStatus, a.guarded(a.status))
	mux.HandleFunc("GET "+adminapi.PathSettingsCurrent, a.guarded(a.current))
	mux.HandleFunc("GET "+adminapi.PathSettingsRevisions+"{number}", a.guarded(a.revision))
	mux.HandleFunc("GET "+adminapi.PathSettingsHistory, a.guarded(a.history))
	mux.HandleFunc("POST "+adminapi.PathSettingsApply, a.guarded(a.apply))
	mux.HandleFunc("POST "+adminapi.PathDrain, a.guarded(a.drain))
	mux.HandleFunc("GET "+adminapi.PathExplainModel+"{name}", a.guarded(a.explainModel))
	mux.HandleFunc("GET "+adminapi.PathExplainRequest+"{id}", a.guarded(a.explainRequest))
	mux.HandleFunc("GET /debug/pprof/", a.profiles)
	return mux
}

// profiles serves pprof profiles to authorized operators.
func (a *adminServer) profiles(writer http.ResponseWriter, httpRequest *http.Request) {
	if err := a.authorize(httpRequest); err != nil {
		http.Error(writer, err.Error(), http.StatusUnauthorized)
		return
	}
	if httpRequest.URL.Path == "/debug/pprof/profile" {
		pprof.Profile(writer, httpRequest)
		return
	}
	pprof.Index(writer, httpRequest)
}

func (a *adminServer) readyz(writer http.ResponseWriter, _ *http.Request) {
	if reason := a.daemon.notReady(); reason != "" {
		http.Error(writer, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}

// guarded wraps a call as an HTTP handler that requires the operator token, if one is
// configured, and writes the result or the error as JSON.
func (a *adminServer) guarded(call func(*http.Request) (any, error)) http.HandlerFunc {
	return func(writer http.ResponseWriter, httpRequest *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		result, err := any(nil), a.authorize(httpRequest)
		if err == nil {
			result, err = call(httpRequest)
		}
		if err != nil {
			failed := failure.As(err)
			writer.WriteHeader(adminStatus(failed.Kind))
			result = adminapi.Error{Kind: failed.Kind, Message: failed.Message, Remedy: failed.Remedy, Execution: failed.Execution}
		}
		_ = json.NewEncoder(writer).Encode(result) // fails only if the client has disconnected
	}
}

func (a *adminServer) authorize(httpRequest *http.Request) error {
	expected := a.daemon.config.OperatorToken
	token := strings.TrimPrefix(httpRequest.Header.Get("Authorization"), "Bearer ")
	if expected != "" && subtle.ConstantTimeCompare([]byte(expected), []byte(token)) != 1 {
		return failure.New(failure.Unauthenticated, "pass the operator token with --token", "the operator token is missing or wrong")
	}
	return nil
}

// adminStatus returns the HTTP status for a kind of failure.
func adminStatus(kind failure.Kind) int {
	switch kind {
	case failure.Unauthenticated:
		return http.StatusUnauthorized
	case failure.InvalidRequest, failure.InvalidSettings:
		return http.StatusBadRequest
	case failure.SettingsConflict:
		return http.StatusConflict
	case failure.Unavailable, failure.SettingsUncertain:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

func (a *adminServer) status(*http.Request) (any, error) {
	d := a.daemon
	self := d.members.View().Self()
	status := adminapi.Status{
		ID: self.ID, Region: self.Region, Zone: self.Zone, Ready: d.notReady() == "", Draining: d.draining.Load(), Version: Version,
		SettingsRevision: d.settings.Number(), GatewayAddress: d.Addresses().Gateway, Queues: d.home.Status(),
	}
	sort.Slice(status.Queues, func(i, j int) bool { return status.Queues[i].Model < status.Queues[j].Model })
	for _, member := range d.members.View().Members {
		revision := d.members.MemberRevision(member.ID)
		if member.ID == self.ID {
			revision = d.settings.Number()
		}
		status.Members = append(status.Members, adminapi.Member{
			ID: member.ID, Region: member.Region, Zone: member.Zone, Status: member.Status.String(),
			RPCAddress: member.RPCAddress, SettingsRevision: revision})
	}
	if placement, leads := d.placer.PlacementStatus(); leads {
		status.Placement = &adminapi.Placement{Region: self.Region, Epoch: placement.Epoch, Plan: placement.Plan.Fence.Revision}
		for _, planned := range placement.Plan.Engines {
			status.Placement.Engines = append(status.Placement.Engines, planned)
		}
		sort.Slice(status.Placement.Engines, func(i, j int) bool {
			return status.Placement.Engines[i].EngineID < status.Placement.Engines[j].EngineID
		})
	}
	return status, nil
}

func (a *adminServer) current(*http.Request) (any, error) {
	current := a.daemon.settings.Current()
	if current == nil {
		return adminapi.Revision{}, nil
	}
	return describe(current), nil
}

func describe(revision *settings.Revision) adminapi.Revision {
	return adminapi.Revision{
		Number: revision.Number, OperationID: revision.OperationID, Author: revision.Author,
		AppliedAt: revision.AppliedAt, YAML: string(revision.YAML),
	}
}

func (a *adminServer) revision(httpRequest *http.Request) (any, error) {
	number, err := strconv.ParseUint(httpRequest.PathValue("number"), 10, 64)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, "specify a revision number", "the revision number is invalid")
	}
	revision, err := a.daemon.registry.Get(httpRequest.Context(), number)
	if err != nil {
		return nil, err
	}
	return describe(revision), nil
}

func (a *adminServer) history(httpRequest *http.Request) (any, error) {
	records, err := a.daemon.registry.History(httpRequest.Context())
	if err != nil {
		return nil, err
	}
	revisions := make([]adminapi.Revision, 0, len(records))
	for _, record := range records {
		revisions = append(revisions, adminapi.Revision{
			Number: record.Number, OperationID: record.OperationID, Author: record.Author, AppliedAt: record.AppliedAt})
	}
	return revisions, nil
}

func (a *adminServer) apply(httpRequest *http.Request) (any, error) {
	var request adminapi.ApplyRequest
	body := http.MaxBytesReader(nil, httpRequest.Body, maxApplyBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, "use `finchspoke settings apply`", "the request body is not valid JSON for applying settings")
	}
	if request.OperationID == "" || len(request.OperationID) > maxOperationID {
		return nil, failure.New(failure.InvalidRequest, "specify an operation id of 1 to 128 bytes", "the operation id has an invalid length")
	}
	tree, err := settings.Parse(settings.Source{Name: "settings", Data: []byte(request.YAML)})
	if err != nil {
		return nil, err
	}
	revision, err := a.daemon.registry.Apply(httpRequest.Context(), settings.ApplyRequest{
		BaseRevision: request.BaseRevision, OperationID: request.OperationID, Author: request.Author, Tree: tree})
	if err != nil {
		return nil, err
	}
	a.daemon.settings.Advance(revision)
	return describe(revision), nil
}

// explainModel returns the model's home and the explanation from its region's placer.
func (a *adminServer) explainModel(httpRequest *http.Request) (any, error) {
	d := a.daemon
	name := httpRequest.PathValue("name")
	current := d.settings.Current()
	if current == nil {
		return nil, failure.New(failure.Unavailable, "retry in a few seconds", "this daemon has not received any settings yet")
	}
	target, found := current.Tree.Targets[name]
	if !found {
		return nil, failure.New(failure.InvalidRequest, "check the name with `finchspoke settings render`",
			"%s is not declared in settings revision %d", name, current.Number)
	}
	model := current.Tree.Models[target.Model]
	view := d.members.View()
	home, found := view.Home(model.Name, model.ServiceRegions)
	if !found {
		return adminapi.Explanation{Lines: []string{"no daemon runs in a region that serves " + model.Name}}, nil
	}
	placer, _ := view.Placer(home.Region)
	response, err := rpc.NewDRPCExplainClient(d.pool.Conn(httpRequest.Context(), placer.RPCAddress)).
		Model(httpRequest.Context(), &rpc.ExplainModel{Target: name})
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "retry in a few seconds", "the placer of %s, %s, did not answer", home.Region, placer.ID)
	}
	summary := "requests through this daemon queue at home " + home.ID + "; " + placer.ID + " is the placer of " + home.Region
	return adminapi.Explanation{Lines: append([]string{summary}, response.GetLines()...)}, nil
}

func (a *adminServer) explainRequest(httpRequest *http.Request) (any, error) {
	id := httpRequest.PathValue("id")
	ended, found := a.daemon.gateway.EndedRequest(id)
	if !found {
		return nil, failure.New(failure.InvalidRequest, "query the daemon that served it, or search the logs for request_id",
			"request %s is not among the requests that ended last on this daemon", id)
	}
	return ended, nil
}

func (a *adminServer) drain(*http.Request) (any, error) {
	a.daemon.BeginDrain()
	return struct{}{}, nil
}
