package engines

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/finchspoke/finchspoke/standin/fault"
)

// responseWriter writes the response of a sequence in the requested format.
type responseWriter struct {
	engine   *Engine
	sequence *sequence
}

type responseChoice struct {
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type responseUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type responseBody struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   *responseUsage   `json:"usage,omitempty"`
}

const (
	roleAssistant = "assistant"
	finishLength  = "length"
)

func (r responseWriter) body(object string, choices ...responseChoice) responseBody {
	return responseBody{
		ID: r.sequence.format.idPrefix + r.sequence.requestID, Object: object, Created: r.sequence.created,
		Model: r.sequence.request.Model, Choices: choices,
	}
}

func (r responseWriter) usage() *responseUsage {
	completion := len(r.sequence.tokens)
	return &responseUsage{r.sequence.prompt, completion, r.sequence.prompt + completion}
}

// complete writes a non-streaming response after the last token.
func (r responseWriter) complete(writer http.ResponseWriter, httpRequest *http.Request) {
	r.addReader()
	defer r.engine.removeReader(r.sequence)
	for {
		state := r.sequence.progress()
		if cut := r.engine.Faults.Get().CutAfterTokens; cut > 0 && state.produced >= cut {
			panic(http.ErrAbortHandler)
		}
		if state.ended && !state.complete {
			panic(http.ErrAbortHandler)
		}
		if state.complete {
			break
		}
		select {
		case <-state.changed:
		case <-httpRequest.Context().Done():
			return
		}
	}
	text := strings.Join(r.sequence.tokens, "")
	reason := finishLength
	choice := responseChoice{FinishReason: &reason}
	if r.sequence.format.chat {
		choice.Message = &responseMessage{roleAssistant, text}
	} else {
		choice.Text = &text
	}
	body := r.body(r.sequence.format.completeObject, choice)
	body.Usage = r.usage()
	fault.WriteJSON(writer, http.StatusOK, body)
}

func (r responseWriter) addReader() {
	r.sequence.mutex.Lock()
	r.sequence.readers++
	r.sequence.mutex.Unlock()
}

// stream writes one event per token, starting at offset, then the final events.
func (r responseWriter) stream(writer http.ResponseWriter, httpRequest *http.Request, offset int) {
	r.addReader()
	defer r.engine.removeReader(r.sequence)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Cache-Control", "no-cache")
	writer.WriteHeader(http.StatusOK)
	flusher, _ := writer.(http.Flusher)
	flusher.Flush()
	frame := r.frame()
	sent := offset
	for {
		state := r.sequence.progress()
		for sent < state.produced {
			if cut := r.engine.Faults.Get().CutAfterTokens; cut > 0 && sent >= cut {
				panic(http.ErrAbortHandler)
			}
			if _, err := writer.Write(frame.event(r.sequence.tokens[sent])); err != nil {
				return
			}
			sent++
		}
		flusher.Flush()
		if state.complete {
			r.writeEnd(writer, sent-len(r.sequence.tokens))
			return
		}
		if state.ended {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-state.changed:
		case <-httpRequest.Context().Done():
			return
		}
	}
}

// writeEnd writes the finish reason, the usage if requested and the end marker. It skips events that a resuming reader
// has received.
func (r responseWriter) writeEnd(writer http.ResponseWriter, skip int) {
	reason := finishLength
	choice := responseChoice{FinishReason: &reason}
	empty := ""
	if r.sequence.format.chat {
		choice.Delta = &responseMessage{}
	} else {
		choice.Text = &empty
	}
	bodies := []responseBody{r.body(r.sequence.format.chunkObject, choice)}
	if r.sequence.request.StreamOptions.IncludeUsage {
		last := r.body(r.sequence.format.chunkObject)
		last.Choices = []responseChoice{}
		last.Usage = r.usage()
		bodies = append(bodies, last)
	}
	for _, body := range bodies[min(skip, len(bodies)):] {
		text, err := json.Marshal(body)
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(writer, "data: %s\n\n", text); err != nil {
			return
		}
	}
	_, _ = fmt.Fprint(writer, "data: [DONE]\n\n") // the reader may have disconnected
}

// eventFrame is the constant part of token events, encoded once per response to keep the stand-in's overhead out of
// measurements.
type eventFrame struct {
	before []byte
	after  []byte
	buffer []byte
}

// tokenPlaceholder marks the position of the token in the encoded event. Tokens need no JSON escaping.
const tokenPlaceholder = "@@"

func (r responseWriter) frame() *eventFrame {
	placeholder := tokenPlaceholder
	choice := responseChoice{}
	if r.sequence.format.chat {
		choice.Delta = &responseMessage{roleAssistant, placeholder}
	} else {
		choice.Text = &placeholder
	}
	text, err := json.Marshal(r.body(r.sequence.format.chunkObject, choice))
	if err != nil {
		return &eventFrame{}
	}
	before, after, _ := strings.Cut("data: "+string(text)+"\n\n", tokenPlaceholder)
	return &eventFrame{before: []byte(before), after: []byte(after)}
}

func (f *eventFrame) event(token string) []byte {
	f.buffer = append(f.buffer[:0], f.before...)
	f.buffer = append(f.buffer, token...)
	f.buffer = append(f.buffer, f.after...)
	return f.buffer
}
