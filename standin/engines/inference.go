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

// maxBodyBytes bounds a request.
const maxBodyBytes = 64 << 20

// question is the part of an OpenAI request that matters here.
type question struct {
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

// text returns the prompt: all messages, or the prompt of a completion.
func (q question) text() string {
	if len(q.Messages) == 0 {
		return plain(q.Prompt)
	}
	parts := make([]string, 0, len(q.Messages))
	for _, message := range q.Messages {
		parts = append(parts, plain(message.Content))
	}
	return strings.Join(parts, "\n")
}

func plain(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// shape is what differs between the chat and the completion interface.
type shape struct {
	idPrefix    string
	chunkObject string
	wholeObject string
	chat        bool
}

var (
	chatShape       = shape{"chatcmpl-", "chat.completion.chunk", "chat.completion", true}
	completionShape = shape{"cmpl-", "text_completion", "text_completion", false}
)

func (e *Engine) serveChat(writer http.ResponseWriter, httpRequest *http.Request) {
	e.serveQuestion(writer, httpRequest, chatShape)
}

func (e *Engine) serveCompletion(writer http.ResponseWriter, httpRequest *http.Request) {
	e.serveQuestion(writer, httpRequest, completionShape)
}

func (e *Engine) serveQuestion(writer http.ResponseWriter, httpRequest *http.Request, form shape) {
	requestID := httpRequest.Header.Get(engine.HeaderRequestID)
	if requestID == "" {
		requestID = uuid.NewString()
	}
	writer.Header().Set(engine.HeaderRequestID, requestID)
	body, err := io.ReadAll(http.MaxBytesReader(writer, httpRequest.Body, maxBodyBytes))
	var asked question
	if err == nil {
		err = json.Unmarshal(body, &asked)
	}
	if err != nil {
		writer.Header().Set(engine.HeaderExecution, engine.ExecutionNotStarted)
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	running, reason := e.start(requestID, httpRequest.Header, asked, form)
	if reason != "" {
		e.record(Entry{Kind: RequestRefused, RequestID: requestID, Model: asked.Model, Detail: reason})
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
	answer := answerWriter{engine: e, sequence: running}
	if asked.Stream {
		answer.stream(writer, httpRequest, 0)
		return
	}
	answer.whole(writer, httpRequest)
}

// start finds a ready replica and begins the request there.
func (e *Engine) start(requestID string, header http.Header, asked question, form shape) (*sequence, string) {
	faults := e.Faults.Get()
	if faults.RefuseRequests || faults.Draining {
		return nil, "the engine takes no requests"
	}
	count := max(asked.MaxTokens, asked.MaxNew)
	if count <= 0 {
		count = e.config.Timing.DefaultMaxTokens
	}
	count = min(count, e.config.Timing.MaxCompletionTokens)
	prompt := asked.text()
	rank, err := strconv.Atoi(header.Get(engine.HeaderPriority))
	if err != nil {
		rank = 1
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	held := e.find(asked.Model)
	if replicaID := header.Get(engine.HeaderReplicaID); replicaID != "" {
		held = e.replicas[replicaID]
	}
	if held == nil || !held.serves(asked.Model) {
		return nil, fmt.Sprintf("model %q is not ready here", asked.Model)
	}
	running := &sequence{
		requestID: requestID, target: asked.Model, priority: rank, prompt: countTokens(prompt),
		prefix: engine.PrefixHash(asked.Model, prompt), tokens: Completion(asked.Model, prompt, count),
		asked: asked, form: form, created: time.Now().Unix(), changed: make(chan struct{}),
	}
	e.sequences[requestID] = running
	e.record(Entry{Kind: RequestStarted, RequestID: requestID, ReplicaID: held.order.ReplicaID, Model: asked.Model, Prompt: prompt})
	held.batch.add(running)
	return running, ""
}

// find returns a ready replica of a model or adapter, the one with fewest
// requests; the mutex is held.
func (e *Engine) find(target string) *replica {
	var best *replica
	least := 0
	for _, held := range e.replicas {
		if !held.serves(target) {
			continue
		}
		running, waiting := held.batch.load()
		if best == nil || running+waiting < least {
			best, least = held, running+waiting
		}
	}
	return best
}

// serves tells whether the replica is ready and has the model or adapter.
func (r *replica) serves(target string) bool {
	return r.state == engine.Ready && (r.order.Model == target || r.adapters[target])
}

func (e *Engine) sequence(id string) *sequence {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.sequences[id]
}

func (e *Engine) forget(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.sequences, id)
}

// leave ends a reader; an answer that nobody reads for the resume window is
// cancelled, and one that ended is forgotten then.
func (e *Engine) leave(running *sequence) {
	running.mutex.Lock()
	running.readers--
	running.mutex.Unlock()
	e.workers.Add(1)
	go func() {
		defer e.workers.Done()
		sleep.For(e.ctx, e.config.ResumeWindow)
		running.mutex.Lock()
		unread := running.readers == 0
		running.mutex.Unlock()
		if unread {
			e.cancel(running)
			e.forget(running.requestID)
		}
	}()
}

func (e *Engine) cancel(running *sequence) {
	if running.progress().ended {
		return
	}
	running.change(func() { running.cancelled = true })
	e.record(Entry{Kind: RequestCancelled, RequestID: running.requestID, Model: running.target})
}

func (e *Engine) serveCancel(writer http.ResponseWriter, httpRequest *http.Request) {
	running := e.sequence(httpRequest.PathValue("id"))
	if running == nil {
		http.Error(writer, "no such request", http.StatusNotFound)
		return
	}
	e.cancel(running)
	writer.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveResume(writer http.ResponseWriter, httpRequest *http.Request) {
	running := e.sequence(httpRequest.PathValue("id"))
	if running == nil {
		http.Error(writer, "no such request", http.StatusNotFound)
		return
	}
	writer.Header().Set(engine.HeaderRequestID, running.requestID)
	answer := answerWriter{engine: e, sequence: running}
	answer.stream(writer, httpRequest, int(parseUint(httpRequest.URL.Query().Get("offset"))))
}

// eventsPoll is how often the event stream looks for events that became due.
const eventsPoll = 50 * time.Millisecond

func (e *Engine) serveEvents(writer http.ResponseWriter, httpRequest *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	seen := uint64(0)
	for {
		for _, event := range e.events.after(seen) {
			seen = event.Sequence
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
		case <-time.After(eventsPoll):
		}
	}
}

// prefixExport is the KV cache of a model in transit.
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
	held := e.find(export.Model)
	e.mutex.Unlock()
	if held == nil {
		http.Error(writer, "model is not ready here", http.StatusNotFound)
		return
	}
	held.batch.mutex.Lock()
	for element := held.batch.prefixes.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*sizedEntry)
		export.Prefixes = append(export.Prefixes, exportedPrefix{entry.key, entry.size})
	}
	held.batch.mutex.Unlock()
	fault.WriteJSON(writer, http.StatusOK, export)
}

func (e *Engine) servePrefixImport(writer http.ResponseWriter, httpRequest *http.Request) {
	var imported prefixExport
	if err := json.NewDecoder(httpRequest.Body).Decode(&imported); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	held := e.find(httpRequest.PathValue("model"))
	e.mutex.Unlock()
	if held == nil {
		http.Error(writer, "model is not ready here", http.StatusNotFound)
		return
	}
	held.batch.mutex.Lock()
	for index := len(imported.Prefixes) - 1; index >= 0; index-- {
		prefix := imported.Prefixes[index]
		held.batch.prefixes.add(prefix.Key, prefix.Tokens, engine.CachedCheckpoint{})
	}
	held.batch.mutex.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}
