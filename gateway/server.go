// Package gateway is the caller interface: OpenAI-compatible HTTP. It checks a
// request against the settings of the caller's branch, asks the model's home for
// a slot, dispatches to the engine and relays the answer. It owns the request
// until its one end.
package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/frontend"
	"github.com/finchspoke/finchspoke/group"
	"github.com/finchspoke/finchspoke/home"
	"github.com/finchspoke/finchspoke/settings"
)

const (
	headerRequestID   = "X-Request-Id"
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	objectList        = "list"
	objectModel       = "model"
	// retryShare is how many retries each request pays for; retryReserve bounds
	// what is saved up.
	retryShare   = 0.1
	retryReserve = 50
)

// Dependencies are what the gateway works with.
type Dependencies struct {
	Settings       *settings.Store
	Engines        *engine.Client
	Ledger         *group.Ledger
	Log            logrus.FieldLogger
	Registerer     prometheus.Registerer
	MaxConnections int
}

// Server is the gateway. It is a suture service.
type Server struct {
	Dependencies
	homes      *home.Client
	frontend   *frontend.Server
	metrics    *metrics
	budget     *core.RetryBudget
	lastEnded  endedRing
	background sync.WaitGroup // keyed requests whose caller may be gone
}

// New returns a gateway on a listener.
func New(dependencies Dependencies, homes *home.Client, listener net.Listener) *Server {
	server := &Server{
		Dependencies: dependencies, homes: homes, metrics: newMetrics(dependencies.Registerer), budget: &core.RetryBudget{Ratio: retryShare, Reserve: retryReserve},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathChat, server.serveCall(engine.PathChat))
	mux.HandleFunc("POST "+engine.PathCompletion, server.serveCall(engine.PathCompletion))
	mux.HandleFunc("GET /v1/models", server.serveModels)
	mux.HandleFunc("GET /v1/models/{model}", server.serveModel)
	mux.HandleFunc("/", server.serveUnknown)
	server.frontend = frontend.New(listener, mux, frontend.Options{
		ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, MaxConnections: dependencies.MaxConnections,
		IdleTimeout: func() time.Duration { return idleTimeout }, Log: dependencies.Log,
	})
	return server
}

// String names the service in the supervisor's events.
func (s *Server) String() string { return "gateway" }

// Serve implements suture.Service. It leaves requests running when ctx ends;
// Drain is what waits for them.
func (s *Server) Serve(ctx context.Context) error {
	return s.frontend.Serve(ctx)
}

// Drain takes no new connections, serves what was sent, and waits for the requests that run.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.frontend.Drain(ctx); err != nil {
		return errors.Wrap(err, "requests still run")
	}
	finished := make(chan struct{})
	go func() {
		s.background.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "keyed requests still run")
	}
}

// refuse answers a request that was not read.
func (s *Server) refuse(writer http.ResponseWriter, failed *failure.Error) {
	requestID := uuid.NewString()
	writer.Header().Set(headerRequestID, requestID)
	writeError(writer, failed, requestID)
	s.metrics.requests.WithLabelValues("none", string(failed.Kind)).Inc()
	s.Log.WithFields(logrus.Fields{"request_id": requestID, "outcome": failed.Kind}).Info("request refused")
	s.lastEnded.add(RequestSummary{RequestID: requestID, Outcome: string(failed.Kind), Message: failed.Message, Remedy: failed.Remedy,
		Execution: failed.Execution, EndedAt: time.Now().UTC()})
}

// finish counts and logs a call's end.
func (s *Server) finish(incoming *call, failed *failure.Error) {
	outcome := "answered"
	execution := failure.Completed
	if failed != nil {
		outcome, execution = string(failed.Kind), failed.Execution
	}
	s.metrics.requests.WithLabelValues(incoming.class.String(), outcome).Inc()
	entry := s.Log.WithFields(logrus.Fields{
		"request_id": incoming.id, "branch": incoming.branch.Path, "model": incoming.target.Name, "class": incoming.class.String(),
		"outcome": outcome, "execution": execution, "home": incoming.log.home, "engine": incoming.log.engine,
		"waited_ms": incoming.log.waited.Milliseconds(), "first_byte_ms": incoming.log.firstByte.Milliseconds(),
		"duration_ms": time.Since(incoming.arrived).Milliseconds(),
	})
	if failed != nil && failed.Unwrap() != nil {
		entry = entry.WithField("cause", failed.Unwrap().Error())
	}
	entry.Info("request ended")
	ended := RequestSummary{
		RequestID: incoming.id, Branch: incoming.branch.Path, Model: incoming.target.Name, Class: incoming.class.String(), Outcome: outcome,
		Execution: execution, Home: incoming.log.home, Engine: incoming.log.engine, WaitedMs: incoming.log.waited.Milliseconds(),
		FirstByteMs: incoming.log.firstByte.Milliseconds(), DurationMs: time.Since(incoming.arrived).Milliseconds(), EndedAt: time.Now().UTC(),
	}
	if failed != nil {
		ended.Message, ended.Remedy = failed.Message, failed.Remedy
	}
	s.lastEnded.add(ended)
}

// modelObject is a model in the OpenAI form.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func (s *Server) serveModels(writer http.ResponseWriter, httpRequest *http.Request) {
	branch, tree, err := s.authenticate(httpRequest)
	if err != nil {
		s.refuse(writer, failure.As(err))
		return
	}
	list := modelList{Object: objectList, Data: []modelObject{}}
	for name := range tree.Targets {
		if _, model, allowed := tree.Allowed(branch, name); allowed {
			list.Data = append(list.Data, modelObject{ID: name, Object: objectModel, OwnedBy: model.Branch})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(writer, list)
}

func (s *Server) serveModel(writer http.ResponseWriter, httpRequest *http.Request) {
	branch, tree, err := s.authenticate(httpRequest)
	if err != nil {
		s.refuse(writer, failure.As(err))
		return
	}
	name := httpRequest.PathValue("model")
	_, model, allowed := tree.Allowed(branch, name)
	if !allowed {
		s.refuse(writer, failure.New(failure.ModelNotAllowed, "list the models you may use with GET /v1/models",
			"model %q is not given to branch %s", name, branch.Path))
		return
	}
	writeJSON(writer, modelObject{ID: name, Object: objectModel, OwnedBy: model.Branch})
}

func (s *Server) serveUnknown(writer http.ResponseWriter, httpRequest *http.Request) {
	s.refuse(writer, failure.New(failure.InvalidRequest,
		"use POST /v1/chat/completions, POST /v1/completions or GET /v1/models", "there is no %s %s", httpRequest.Method, httpRequest.URL.Path))
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", contentTypeJSON)
	_ = json.NewEncoder(writer).Encode(value) // the caller may be gone
}
