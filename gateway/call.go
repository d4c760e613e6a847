package gateway

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/request"
	"github.com/finchspoke/finchspoke/settings"
)

// Headers of the caller interface.
const (
	// HeaderDeadline is the time from arrival to the complete response, such as 30s.
	HeaderDeadline = "Finchspoke-Deadline"
	// HeaderClass is interactive, standard or bulk.
	HeaderClass = "Finchspoke-Class"
	// HeaderNoRepeat with "true" forbids running the request more than once.
	HeaderNoRepeat = "Finchspoke-No-Repeat"
	// HeaderIdempotencyKey identifies a request that runs at most once over all its retries; see
	// package group.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderExecution states in an error response whether the request was executed.
	HeaderExecution = "Finchspoke-Execution"
	// HeaderReplayed marks a stored response, replayed for an idempotency key.
	HeaderReplayed = "Finchspoke-Replayed"
	// HeaderHome and HeaderEngine name the daemon that queued the request and the engine that
	// ran it.
	HeaderHome   = "Finchspoke-Home"
	HeaderEngine = "Finchspoke-Engine"
)

const (
	maxIdempotencyKey = 255
	maxDeadline       = 24 * time.Hour
	// bodyReadTimeout is the maximum time to receive a request body.
	bodyReadTimeout = 30 * time.Second
)

// call is a parsed and validated request.
type call struct {
	id             string
	path           string
	branch         *settings.Branch
	target         settings.Target
	model          *settings.Model
	class          request.Class
	arrived        time.Time
	deadline       time.Time
	stream         bool
	tokens         int    // estimate for prompt and output
	prefix         uint64 // engine.PrefixHash of the prompt
	repeatable     bool
	idempotencyKey string
	body           []byte
	log            callLog
}

// callLog collects what finish logs about a call.
type callLog struct {
	home      string
	engine    string
	waited    time.Duration
	firstByte time.Duration
}

// completionRequest holds the body fields that the gateway reads; the engine validates the others.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

type chatMessage struct {
	Content json.RawMessage `json:"content"`
}

// promptText returns the prompt of a completion, or all messages of a chat, as engines read them.
func (q completionRequest) promptText() string {
	if len(q.Messages) == 0 {
		return contentText(q.Prompt)
	}
	parts := make([]string, 0, len(q.Messages))
	for _, message := range q.Messages {
		parts = append(parts, contentText(message.Content))
	}
	return strings.Join(parts, "\n")
}

// contentText returns the text of a JSON string, or other JSON unchanged.
func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

const (
	// bytesPerToken converts the length of a prompt to an estimate of its tokens.
	bytesPerToken = 4
	// defaultOutputTokens is assumed where a request sets no maximum.
	defaultOutputTokens = 256
)

// tokens estimates the tokens of prompt and output.
func (q completionRequest) tokens(prompt string) int {
	output := max(q.MaxTokens, q.MaxCompletionTokens)
	if output <= 0 {
		output = defaultOutputTokens
	}
	return len(prompt)/bytesPerToken + min(output, math.MaxInt32/2)
}

// readCall authenticates, parses and validates a request.
func (s *Server) readCall(writer http.ResponseWriter, httpRequest *http.Request, path string) (*call, error) {
	branch, tree, err := s.authenticate(httpRequest)
	if err != nil {
		return nil, err
	}
	incoming := &call{
		id: uuid.NewString(), path: path, branch: branch, arrived: time.Now(), class: branch.Values.Class, repeatable: true,
	}
	if incoming.body, err = readBody(writer, httpRequest, branch.Values.MaxBody); err != nil {
		return nil, err
	}
	if err := incoming.parseBody(tree); err != nil {
		return nil, err
	}
	return incoming, incoming.parseHeaders(httpRequest.Header)
}

func readBody(writer http.ResponseWriter, httpRequest *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // not every writer supports deadlines
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(writer, httpRequest.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, failure.New(failure.TooLarge, "send a shorter request, or ask your operator to raise max_body",
			"the request body exceeds the branch's limit of %s", settings.FormatSize(limit))
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, "send the complete body within 30 seconds", "the request body could not be read")
	}
	return body, nil
}

func (c *call) parseBody(tree *settings.Tree) error {
	var parsed completionRequest
	if err := json.Unmarshal(c.body, &parsed); err != nil {
		return failure.Wrap(err, failure.InvalidRequest, "send a JSON object in the OpenAI form", "the request body is not valid JSON")
	}
	if parsed.Model == "" {
		return failure.New(failure.InvalidRequest, "list the models you may use with GET /v1/models", "the request body names no model")
	}
	if c.path == engine.PathChat && len(parsed.Messages) == 0 {
		return failure.New(failure.InvalidRequest, "send at least one message", "the request body has no messages")
	}
	if c.path == engine.PathCompletion && len(parsed.Prompt) == 0 {
		return failure.New(failure.InvalidRequest, "send a prompt", "the request body has no prompt")
	}
	target, model, allowed := tree.Allowed(c.branch, parsed.Model)
	if !allowed {
		// The response is the same for a model that does not exist, so that names do not leak.
		return failure.New(failure.ModelNotAllowed, "list the models you may use with GET /v1/models",
			"model %q is not available to branch %s", parsed.Model, c.branch.Path)
	}
	c.target, c.model, c.stream = target, model, parsed.Stream
	prompt := parsed.promptText()
	c.tokens, c.prefix = parsed.tokens(prompt), engine.PrefixHash(target.Name, prompt)
	return nil
}

func (c *call) parseHeaders(header http.Header) error {
	if text := header.Get(HeaderClass); text != "" {
		class, err := request.ParseClass(text)
		if err != nil {
			return failure.Wrap(err, failure.InvalidRequest, "use interactive, standard or bulk", "header %s is not valid", HeaderClass)
		}
		c.class = class
	}
	allowed := c.branch.Values.Deadlines[c.class]
	if text := header.Get(HeaderDeadline); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 || requested > maxDeadline {
			return failure.New(failure.InvalidRequest, "use a duration above zero and up to 24h, such as 1500ms or 30s",
				"header %s: %q is not valid", HeaderDeadline, text)
		}
		allowed = requested
	}
	c.deadline = c.arrived.Add(allowed)
	c.idempotencyKey = header.Get(HeaderIdempotencyKey)
	if len(c.idempotencyKey) > maxIdempotencyKey {
		return failure.New(failure.InvalidRequest, "use a shorter key, such as a UUID", "the idempotency key exceeds %d bytes", maxIdempotencyKey)
	}
	noRepeat := header.Get(HeaderNoRepeat)
	if noRepeat != "" && noRepeat != "true" && noRepeat != "false" {
		return failure.New(failure.InvalidRequest, "use true or false", "header %s: %q is not valid", HeaderNoRepeat, noRepeat)
	}
	c.repeatable = noRepeat != "true" && c.idempotencyKey == ""
	return nil
}

// authenticate returns the branch of the API key, and the current settings tree.
func (s *Server) authenticate(httpRequest *http.Request) (*settings.Branch, *settings.Tree, error) {
	current := s.Settings.Current()
	if current == nil {
		return nil, nil, failure.New(failure.Unavailable, "retry after the given time", "this daemon has not loaded its settings yet").WithRetryAfter(time.Second)
	}
	key, found := strings.CutPrefix(httpRequest.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return nil, nil, failure.New(failure.Unauthenticated, "send the header Authorization: Bearer <API key>", "the request carries no API key")
	}
	branch, known := current.Tree.BranchForKey(key)
	if !known {
		return nil, nil, failure.New(failure.Unauthenticated, "check the key, or ask your operator for one", "the API key is unknown")
	}
	return branch, current.Tree, nil
}
