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

// Answer is what came back to a request.
type Completion struct {
	Status    int
	Header    http.Header
	Text      string // of the answer, or the error's body
	Complete  bool   // the answer came to its end
	FirstByte time.Duration
	Total     time.Duration
}

// RequestOptions describe one request.
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

type askBody struct {
	Model     string       `json:"model"`
	Stream    bool         `json:"stream"`
	MaxTokens int          `json:"max_tokens"`
	Messages  []askMessage `json:"messages"`
}

type askMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Ask sends one chat completion and reads its answer to the end.
func SendRequest(ctx context.Context, options RequestOptions) (Completion, error) {
	body, err := json.Marshal(askBody{options.Model, options.Stream, options.MaxTokens, []askMessage{{"user", options.Prompt}}})
	if err != nil {
		return Completion{}, errors.Wrap(err, "encode request")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+options.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Completion{}, errors.Wrap(err, "make request")
	}
	httpRequest.Header.Set("Authorization", "Bearer "+options.Key)
	for name, value := range options.Headers {
		httpRequest.Header.Set(name, value)
	}
	client := options.Client
	if client == nil {
		client = http.DefaultClient
	}
	began := time.Now()
	response, err := client.Do(httpRequest)
	if err != nil {
		return Completion{}, errors.Wrap(err, "ask")
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	_, _ = reader.Peek(1) // an error comes again below
	answer := Completion{Status: response.StatusCode, Header: response.Header, FirstByte: time.Since(began)}
	text, err := io.ReadAll(reader)
	answer.Total = time.Since(began)
	if err != nil {
		return answer, errors.Wrap(err, "read answer")
	}
	answer.Text, answer.Complete = decodeAnswer(response, text)
	return answer, nil
}
