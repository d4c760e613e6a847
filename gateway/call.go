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
	// HeaderDeadline is the time to the whole answer, such as 30s.
	HeaderDeadline = "Finchspoke-Deadline"
	// HeaderClass is interactive, standard or bulk.
	HeaderClass = "Finchspoke-Class"
	// HeaderNoRepeat with "true" says that the request may not run twice.
	HeaderNoRepeat = "Finchspoke-No-Repeat"
	// HeaderIdempotencyKey names a request that runs at most once over all its
	// repeats; see package group.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderExecution says in an error what is known of the execution.
	HeaderExecution = "Finchspoke-Execution"
	// HeaderReplayed marks an answer that was stored for an idempotency key.
	HeaderReplayed = "Finchspoke-Replayed"
	// HeaderHome and HeaderEngine say which daemon queued and which engine ran.
	HeaderHome   = "Finchspoke-Home"
	HeaderEngine = "Finchspoke-Engine"
)

const (
	maxIdempotencyKey = 255
	maxDeadline       = 24 * time.Hour
	// bodyReadTimeout bounds how long a caller may take to send its body.
	bodyReadTimeout = 30 * time.Second
)

// call is one request, read and checked.
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
	tokens         int    // asked for, prompt and answer
	prefix         uint64 // of the prompt
	repeatable     bool
	idempotencyKey string
	body           []byte
	log            callLog
}

// callLog is what is logged of a call when it ends.
type callLog struct {
	home      string
	engine    string
	waited    time.Duration
	firstByte time.Duration
}

// question is the part of the body that matters here; the engine checks the rest.
type question struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

type message struct {
	Content json.RawMessage `json:"content"`
}

// text returns the prompt as engines read it: all messages, or the prompt.
func (q question) text() string {
	if len(q.Messages) == 0 {
		return plainText(q.Prompt)
	}
	parts := make([]string, 0, len(q.Messages))
	for _, one := range q.Messages {
		parts = append(parts, plainText(one.Content))
	}
	return strings.Join(parts, "\n")
}

// plainText returns a JSON string's text, or other JSON as it stands.
func plainText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

const (
	// bytesPerToken estimates a prompt's tokens from its length.
	bytesPerToken = 4
	// assumedAnswerTokens is charged where a request sets no maximum.
	assumedAnswerTokens = 256
)

// tokens estimates what the request asks for, prompt and answer.
func (q question) tokens(prompt string) int {
	answer := max(q.MaxTokens, q.MaxCompletionTokens)
	if answer <= 0 {
		answer = assumedAnswerTokens
	}
	return len(prompt)/bytesPerToken + min(answer, math.MaxInt32/2)
}

// readCall reads and checks a request.
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
	if err := incoming.readQuestion(tree); err != nil {
		return nil, err
	}
	return incoming, incoming.readHeaders(httpRequest.Header)
}

func readBody(writer http.ResponseWriter, httpRequest *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // not all writers can
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(writer, httpRequest.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, failure.New(failure.TooLarge, "send a shorter request, or ask your operator to raise max_body",
			"the body exceeds the branch's limit of %s", settings.FormatSize(limit))
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, "send the whole body within 30 seconds", "the body could not be read")
	}
	return body, nil
}

func (c *call) readQuestion(tree *settings.Tree) error {
	var asked question
	if err := json.Unmarshal(c.body, &asked); err != nil {
		return failure.Wrap(err, failure.InvalidRequest, "send a JSON object in the OpenAI form", "the body is not valid JSON")
	}
	if asked.Model == "" {
		return failure.New(failure.InvalidRequest, "list the models you may use with GET /v1/models", "the body names no model")
	}
	if c.path == engine.PathChat && len(asked.Messages) == 0 {
		return failure.New(failure.InvalidRequest, "give at least one message", "the body has no messages")
	}
	if c.path == engine.PathCompletion && len(asked.Prompt) == 0 {
		return failure.New(failure.InvalidRequest, "give a prompt", "the body has no prompt")
	}
	target, model, allowed := tree.Allowed(c.branch, asked.Model)
	if !allowed {
		// The same answer for a model that does not exist: names are not given away.
		return failure.New(failure.ModelNotAllowed, "list the models you may use with GET /v1/models",
			"model %q is not given to branch %s", asked.Model, c.branch.Path)
	}
	c.target, c.model, c.stream = target, model, asked.Stream
	prompt := asked.text()
	c.tokens, c.prefix = asked.tokens(prompt), engine.PrefixHash(target.Name, prompt)
	return nil
}

func (c *call) readHeaders(header http.Header) error {
	if text := header.Get(HeaderClass); text != "" {
		class, err := request.ParseClass(text)
		if err != nil {
			return failure.Wrap(err, failure.InvalidRequest, "use interactive, standard or bulk", "header %s is not valid", HeaderClass)
		}
		c.class = class
	}
	allowed := c.branch.Values.Deadlines[c.class]
	if text := header.Get(HeaderDeadline); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 || asked > maxDeadline {
			return failure.New(failure.InvalidRequest, "write a duration above zero and up to 24h, like 1500ms or 30s",
				"header %s: %q is not valid", HeaderDeadline, text)
		}
		allowed = asked
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

// authenticate finds the branch of a caller's API key in the settings in force.
func (s *Server) authenticate(httpRequest *http.Request) (*settings.Branch, *settings.Tree, error) {
	current := s.Settings.Current()
	if current == nil {
		return nil, nil, failure.New(failure.Unavailable, "try again shortly", "this daemon has no settings yet").WithRetryAfter(time.Second)
	}
	key, found := strings.CutPrefix(httpRequest.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return nil, nil, failure.New(failure.Unauthenticated, "send the header Authorization: Bearer <API key>", "the request carries no API key")
	}
	branch, known := current.Tree.BranchForKey(key)
	if !known {
		return nil, nil, failure.New(failure.Unauthenticated, "check the key, or ask your operator for one", "the API key is not known")
	}
	return branch, current.Tree, nil
}
