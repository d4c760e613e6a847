package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Completion is the response to a chat completion request.
type Completion struct {
	Status    int
	Header    http.Header
	Text      string // generated text, or the body of an error response
	Complete  bool   // the response arrived up to its end
	FirstByte time.Duration
	Total     time.Duration
}

// RequestOptions configures one request.
type RequestOptions struct {
	Address   string // of a gateway
	Key       string
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	Headers   map[string]string
	Client    *http.Client // http.DefaultClient if nil
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// SendRequest sends one chat completion request and reads the response to its end.
func SendRequest(ctx context.Context, options RequestOptions) (Completion, error) {
	body, err := json.Marshal(chatRequest{options.Model, options.Stream, options.MaxTokens, []chatMessage{{"user", options.Prompt}}})
	if err != nil {
		return Completion{}, errors.Wrap(err, "encode request")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+options.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Completion{}, errors.Wrap(err, "create request")
	}
	httpRequest.Header.Set("Authorization", "Bearer "+options.Key)
	for name, value := range options.Headers {
		httpRequest.Header.Set(name, value)
	}
	client := options.Client
	if client == nil {
		client = http.DefaultClient
	}
	start := time.Now()
	httpResponse, err := client.Do(httpRequest)
	if err != nil {
		return Completion{}, errors.Wrap(err, "send request")
	}
	defer func() { _ = httpResponse.Body.Close() }()
	reader := bufio.NewReader(httpResponse.Body)
	_, _ = reader.Peek(1) // ReadAll returns the error again
	response := Completion{Status: httpResponse.StatusCode, Header: httpResponse.Header, FirstByte: time.Since(start)}
	text, err := io.ReadAll(reader)
	response.Total = time.Since(start)
	if err != nil {
		return response, errors.Wrap(err, "read response")
	}
	response.Text, response.Complete = decodeResponse(httpResponse, text)
	return response, nil
}
