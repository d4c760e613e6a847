package engines

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/finchspoke/finchspoke/standin/fault"
)

// answerWriter writes one answer in the form that was asked for.
type answerWriter struct {
	engine   *Engine
	sequence *sequence
}

type answerChoice struct {
	Index        int            `json:"index"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type answerUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *answerUsage   `json:"usage,omitempty"`
}

const (
	roleAssistant = "assistant"
	finishLength  = "length"
)

func (a answerWriter) body(object string, choices ...answerChoice) answerBody {
	return answerBody{
		ID: a.sequence.form.idPrefix + a.sequence.requestID, Object: object, Created: a.sequence.created,
		Model: a.sequence.asked.Model, Choices: choices,
	}
}

func (a answerWriter) usage() *answerUsage {
	completion := len(a.sequence.tokens)
	return &answerUsage{a.sequence.prompt, completion, a.sequence.prompt + completion}
}

// whole answers in one piece once the last token is there.
func (a answerWriter) whole(writer http.ResponseWriter, httpRequest *http.Request) {
	a.join()
	defer a.engine.leave(a.sequence)
	for {
		state := a.sequence.progress()
		if cut := a.engine.Faults.Get().CutAfterTokens; cut > 0 && state.produced >= cut {
			panic(http.ErrAbortHandler)
		}
		if state.ended && !state.whole {
			panic(http.ErrAbortHandler)
		}
		if state.whole {
			break
		}
		select {
		case <-state.changed:
		case <-httpRequest.Context().Done():
			return
		}
	}
	text := strings.Join(a.sequence.tokens, "")
	reason := finishLength
	choice := answerChoice{FinishReason: &reason}
	if a.sequence.form.chat {
		choice.Message = &answerMessage{roleAssistant, text}
	} else {
		choice.Text = &text
	}
	body := a.body(a.sequence.form.wholeObject, choice)
	body.Usage = a.usage()
	fault.WriteJSON(writer, http.StatusOK, body)
}

func (a answerWriter) join() {
	a.sequence.mutex.Lock()
	a.sequence.readers++
	a.sequence.mutex.Unlock()
}

// stream answers an event a token from offset on, then the end mark.
func (a answerWriter) stream(writer http.ResponseWriter, httpRequest *http.Request, offset int) {
	a.join()
	defer a.engine.leave(a.sequence)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Cache-Control", "no-cache")
	writer.WriteHeader(http.StatusOK)
	flusher, _ := writer.(http.Flusher)
	flusher.Flush()
	frame := a.frame()
	sent := offset
	for {
		state := a.sequence.progress()
		for sent < state.produced {
			if cut := a.engine.Faults.Get().CutAfterTokens; cut > 0 && sent >= cut {
				panic(http.ErrAbortHandler)
			}
			if _, err := writer.Write(frame.event(a.sequence.tokens[sent])); err != nil {
				return
			}
			sent++
		}
		flusher.Flush()
		if state.whole {
			a.finish(writer, sent-len(a.sequence.tokens))
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

// finish writes the finish reason, the usage where asked for, and the end mark,
// less the events that a reader who resumes has already.
func (a answerWriter) finish(writer http.ResponseWriter, skip int) {
	reason := finishLength
	choice := answerChoice{FinishReason: &reason}
	empty := ""
	if a.sequence.form.chat {
		choice.Delta = &answerMessage{}
	} else {
		choice.Text = &empty
	}
	bodies := []answerBody{a.body(a.sequence.form.chunkObject, choice)}
	if a.sequence.asked.StreamOptions.IncludeUsage {
		last := a.body(a.sequence.form.chunkObject)
		last.Choices = []answerChoice{}
		last.Usage = a.usage()
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
	_, _ = fmt.Fprint(writer, "data: [DONE]\n\n") // the reader may be gone
}

// eventFrame is the unchanging part of a token's event, made once an answer so
// that the stand-in costs little beside what is measured.
type eventFrame struct {
	before []byte
	after  []byte
	buffer []byte
}

// tokenMark stands where the token goes; tokens need no JSON escaping.
const tokenMark = "@@"

func (a answerWriter) frame() *eventFrame {
	mark := tokenMark
	choice := answerChoice{}
	if a.sequence.form.chat {
		choice.Delta = &answerMessage{roleAssistant, mark}
	} else {
		choice.Text = &mark
	}
	text, err := json.Marshal(a.body(a.sequence.form.chunkObject, choice))
	if err != nil {
		return &eventFrame{}
	}
	before, after, _ := strings.Cut("data: "+string(text)+"\n\n", tokenMark)
	return &eventFrame{before: []byte(before), after: []byte(after)}
}

func (f *eventFrame) event(token string) []byte {
	f.buffer = append(f.buffer[:0], f.before...)
	f.buffer = append(f.buffer, token...)
	f.buffer = append(f.buffer, f.after...)
	return f.buffer
}
