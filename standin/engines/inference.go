package engines

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/standin/fault"
)

// maxBodyBytes limits a request body.
const maxBodyBytes = 64 << 20

// inferenceRequest holds the fields of an OpenAI request that the stand-in uses.
type inferenceRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	MaxNew    int             `json:"max_completion_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// text returns the contents of all messages, or the prompt of a completion request.
func (r inferenceRequest) text() string {
	if len(r.Messages) == 0 {
		return plainText(r.Prompt)
	}
	parts := make([]string, 0, len(r.Messages))
	for _, message := range r.Messages {
		parts = append(parts, plainText(message.Content))
	}
	return strings.Join(parts, "\n")
}

func plainText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// responseFormat describes the responses of the chat or the completion API.
type responseFormat struct {
	idPrefix       string
	chunkObject    string
	completeObject string
	chat           bool
}

var (
	chatFormat       = responseFormat{"chatcmpl-", "chat.completion.chunk", "chat.completion", true}
	completionFormat = responseFormat{"cmpl-", "text_completion", "text_completion", false}
)

func (e *Engine) serveChat(writer http.ResponseWriter, httpRequest *http.Request) {
	e.serveInference(writer, httpRequest, chatFormat)
}

func (e *Engine) serveCompletion(writer http.ResponseWriter, httpRequest *http.Request) {
	e.serveInference(writer, httpRequest, completionFormat)
}

func (e *Engine) serveInference(writer http.ResponseWriter, httpRequest *http.Request, format responseFormat) {
	requestID := httpRequest.Header.Get(engine.HeaderRequestID)
	if requestID == "" {
		requestID = uuid.NewString()
	}
	writer.Header().Set(engine.HeaderRequestID, requestID)
	body, err := io.ReadAll(http.MaxBytesReader(writer, httpRequest.Body, maxBodyBytes))
	var request inferenceRequest
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil {
		writer.Header().Set(engine.HeaderExecution, engine.ExecutionNotStarted)
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	seq, reason := e.startRequest(requestID, httpRequest.Header, request, format)
	if reason != "" {
		e.record(Entry{Kind: RequestRefused, RequestID: requestID, Model: request.Model, Detail: reason})
		writer.Header().Set(engine.HeaderExecution, engine.ExecutionNotStarted)
		http.Error(writer, reason, http.StatusServiceUnavailable)
		return
	}
	if e.Faults.Get().DropResponses {
		panic(http.ErrAbortHandler)
	}
	if e.Faults.Get().MismatchRequestIDs {
		writer.Header().Set(engine.HeaderRequestID, uuid.NewString())
	}
	response := responseWriter{engine: e, sequence: seq}
	if request.Stream {
		response.stream(writer, httpRequest, 0)
		return
	}
	response.complete(writer, httpRequest)
}

// startRequest adds the request to a ready replica, or returns the reason why it cannot.
func (e *Engine) startRequest(requestID string, header http.Header, request inferenceRequest, format responseFormat) (*sequence, string) {
	faults := e.Faults.Get()
	number := e.requests.Add(1)
	if faults.RefuseRequests || faults.Draining || faults.RefuseEvery > 0 && number%int64(faults.RefuseEvery) == 1 {
		return nil, "the engine accepts no requests"
	}
	count := max(request.MaxTokens, request.MaxNew)
	if count <= 0 {
		count = e.config.Timing.DefaultMaxTokens
	}
	count = min(count, e.config.Timing.MaxCompletionTokens)
	prompt := request.text()
	rank, err := strconv.Atoi(header.Get(engine.HeaderPriority))
	if err != nil {
		rank = 1
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := e.findReady(request.Model)
	if replicaID := header.Get(engine.HeaderReplicaID); replicaID != "" {
		r = e.replicas[replicaID]
	}
	if r == nil || !r.serves(request.Model) {
		return nil, fmt.Sprintf("model %q is not ready on this engine", request.Model)
	}
	seq := &sequence{
		requestID: requestID, target: request.Model, priority: rank, prompt: countTokens(prompt),
		prefix: engine.PrefixHash(request.Model, prompt), tokens: Completion(request.Model, prompt, count),
		request: request, format: format, created: time.Now().Unix(), changed: make(chan struct{}),
	}
	e.sequences[requestID] = seq
	e.record(Entry{Kind: RequestStarted, RequestID: requestID, ReplicaID: r.order.ReplicaID, Model: request.Model, Prompt: prompt})
	r.batch.add(seq)
	return seq, ""
}

// findReady returns the ready replica of a model or adapter with the fewest requests, or nil. The caller holds the
// mutex.
func (e *Engine) findReady(target string) *replica {
	var best *replica
	fewest := 0
	for _, r := range e.replicas {
		if !r.serves(target) {
			continue
		}
		running, waiting := r.batch.counts()
		if best == nil || running+waiting < fewest {
			best, fewest = r, running+waiting
		}
	}
	return best
}

// serves reports whether the replica is ready and has the model or adapter.
func (r *replica) serves(target string) bool {
	return r.state == engine.Ready && (r.order.Model == target || r.adapters[target])
}

func (e *Engine) sequence(id string) *sequence {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.sequences[id]
}

func (e *Engine) removeSequence(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.sequences, id)
}

// removeReader detaches a reader. A sequence without a reader after the resume window is cancelled, if it is still
// running, and removed.
func (e *Engine) removeReader(seq *sequence) {
	seq.mutex.Lock()
	seq.readers--
	seq.mutex.Unlock()
	e.workers.Add(1)
	go func() {
		defer e.workers.Done()
		sleep.For(e.ctx, e.config.ResumeWindow)
		seq.mutex.Lock()
		abandoned := seq.readers == 0
		seq.mutex.Unlock()
		if abandoned {
			e.cancelSequence(seq)
			e.removeSequence(seq.requestID)
		}
	}()
}

func (e *Engine) cancelSequence(seq *sequence) {
	if seq.progress().ended {
		return
	}
	seq.update(func() { seq.cancelled = true })
	e.record(Entry{Kind: RequestCancelled, RequestID: seq.requestID, Model: seq.target})
}

func (e *Engine) serveCancel(writer http.ResponseWriter, httpRequest *http.Request) {
	seq := e.sequence(httpRequest.PathValue("id"))
	if seq == nil {
		http.Error(writer, "no such request", http.StatusNotFound)
		return
	}
	e.cancelSequence(seq)
	writer.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveResume(writer http.ResponseWriter, httpRequest *http.Request) {
	seq := e.sequence(httpRequest.PathValue("id"))
	if seq == nil {
		http.Error(writer, "no such request", http.StatusNotFound)
		return
	}
	writer.Header().Set(engine.HeaderRequestID, seq.requestID)
	response := responseWriter{engine: e, sequence: seq}
	response.stream(writer, httpRequest, int(parseUintOrZero(httpRequest.URL.Query().Get("offset"))))
}

// eventsPollInterval is how often an event stream checks for due events.
const eventsPollInterval = 50 * time.Millisecond

func (e *Engine) serveEvents(writer http.ResponseWriter, httpRequest *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	last := uint64(0)
	for {
		for _, event := range e.events.after(last) {
			last = event.Sequence
			text, err := json.Marshal(event)
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(writer, "data: %s\n\n", text); err != nil {
				return
			}
		}
		if flusher, ok := writer.(http.Flusher); ok {
			flusher.Flush()
		}
		select {
		case <-httpRequest.Context().Done():
			return
		case <-e.ctx.Done():
			return
		case <-time.After(eventsPollInterval):
		}
	}
}

// prefixExport is the wire format in which engines transfer a model's prefix cache.
type prefixExport struct {
	Model    string           `json:"model"`
	Prefixes []exportedPrefix `json:"prefixes"`
}

type exportedPrefix struct {
	Key    string `json:"key"`
	Tokens int64  `json:"tokens"`
}

func (e *Engine) servePrefixExport(writer http.ResponseWriter, httpRequest *http.Request) {
	export := prefixExport{Model: httpRequest.PathValue("model"), Prefixes: []exportedPrefix{}}
	e.mutex.Lock()
	r := e.findReady(export.Model)
	e.mutex.Unlock()
	if r == nil {
		http.Error(writer, "the model is not ready on this engine", http.StatusNotFound)
		return
	}
	r.batch.mutex.Lock()
	for element := r.batch.prefixes.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*lruEntry)
		export.Prefixes = append(export.Prefixes, exportedPrefix{entry.key, entry.size})
	}
	r.batch.mutex.Unlock()
	fault.WriteJSON(writer, http.StatusOK, export)
}

func (e *Engine) servePrefixImport(writer http.ResponseWriter, httpRequest *http.Request) {
	var imported prefixExport
	if err := json.NewDecoder(httpRequest.Body).Decode(&imported); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	r := e.findReady(httpRequest.PathValue("model"))
	e.mutex.Unlock()
	if r == nil {
		http.Error(writer, "the model is not ready on this engine", http.StatusNotFound)
		return
	}
	r.batch.mutex.Lock()
	for index := len(imported.Prefixes) - 1; index >= 0; index-- {
		prefix := imported.Prefixes[index]
		r.batch.prefixes.add(prefix.Key, prefix.Tokens, engine.CachedCheckpoint{})
	}
	r.batch.mutex.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}
