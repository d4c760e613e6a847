// Package gateway serves the OpenAI-compatible HTTP interface for callers. It checks a request
// against the settings of the caller's branch, acquires a slot from the model's home, dispatches
// the request to the engine and relays the response.
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
	// Retries are limited to retryRatio of the requests plus retryReserve in retryWindow.
	retryRatio   = 0.1
	retryReserve = 50
	retryWindow  = 10 * time.Second
)

// Dependencies holds what the gateway is built from.
type Dependencies struct {
	Settings       *settings.Store
	Engines        *engine.Client
	Ledger         *group.Ledger
	Log            logrus.FieldLogger
	Registerer     prometheus.Registerer
	MaxConnections int
}

// Server is the gateway; it implements suture.Service.
type Server struct {
	Dependencies
	homes         *home.Client
	frontend      *frontend.Server
	metrics       *metrics
	retryBudget   *retryBudget
	recentlyEnded summaryRing
	background    sync.WaitGroup // keyed requests, which outlive their callers
}

// New returns a gateway that serves callers on listener.
func New(dependencies Dependencies, homes *home.Client, listener net.Listener) *Server {
	server := &Server{
		Dependencies: dependencies, homes: homes, metrics: newMetrics(dependencies.Registerer), retryBudget: newRetryBudget(),
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

// String returns the service name that the supervisor reports in its events.
func (s *Server) String() string { return "gateway" }

// Serve implements suture.Service. Running requests continue after ctx is done; Drain waits for
// them.
func (s *Server) Serve(ctx context.Context) error {
	return s.frontend.Serve(ctx)
}

// Drain stops accepting connections and waits for running requests, until ctx is done.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.frontend.Drain(ctx); err != nil {
		return errors.Wrap(err, "requests are still running")
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
		return errors.Wrap(ctx.Err(), "keyed requests are still running")
	}
}

// reject responds with an error to a request that the gateway does not serve.
func (s *Server) reject(writer http.ResponseWriter, failed *failure.Error) {
	requestID := uuid.NewString()
	writer.Header().Set(headerRequestID, requestID)
	writeError(writer, failed, requestID)
	s.metrics.requests.WithLabelValues("none", string(failed.Kind)).Inc()
	s.Log.WithFields(logrus.Fields{"request_id": requestID, "outcome": failed.Kind}).Info("request rejected")
	s.recentlyEnded.add(RequestSummary{RequestID: requestID, Outcome: string(failed.Kind), Message: failed.Message, Remedy: failed.Remedy,
		Execution: failed.Execution, EndedAt: time.Now().UTC()})
}

// finish counts, logs and records the end of a call.
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
	s.recentlyEnded.add(ended)
}

// modelObject is a model in the OpenAI format.
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
		s.reject(writer, failure.As(err))
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
		s.reject(writer, failure.As(err))
		return
	}
	name := httpRequest.PathValue("model")
	_, model, allowed := tree.Allowed(branch, name)
	if !allowed {
		s.reject(writer, failure.New(failure.ModelNotAllowed, "list the models you may use with GET /v1/models",
			"model %q is not available to branch %s", name, branch.Path))
		return
	}
	writeJSON(writer, modelObject{ID: name, Object: objectModel, OwnedBy: model.Branch})
}

func (s *Server) serveUnknown(writer http.ResponseWriter, httpRequest *http.Request) {
	s.reject(writer, failure.New(failure.InvalidRequest,
		"use POST /v1/chat/completions, POST /v1/completions or GET /v1/models", "no such endpoint: %s %s", httpRequest.Method, httpRequest.URL.Path))
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", contentTypeJSON)
	_ = json.NewEncoder(writer).Encode(value) // the caller may have disconnected
}
