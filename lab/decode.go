package lab

import (
	"encoding/json"
	"net/http"
	"strings"
)

// answerBody is what is read of an answer or of one event of it.
type answerBody struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// decodeAnswer returns the text of an answer, and whether it is whole; of an
// error it returns the body.
func decodeAnswer(response *http.Response, body []byte) (text string, whole bool) {
	if response.StatusCode != http.StatusOK {
		return string(body), false
	}
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		var parsed answerBody
		if err := json.Unmarshal(body, &parsed); err != nil || len(parsed.Choices) == 0 {
			return string(body), false
		}
		return parsed.Choices[0].Message.Content, true
	}
	var gathered strings.Builder
	for _, line := range strings.Split(string(body), "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return gathered.String(), true
		}
		var event answerBody
		if err := json.Unmarshal([]byte(data), &event); err == nil && len(event.Choices) > 0 {
			gathered.WriteString(event.Choices[0].Delta.Content)
		}
	}
	return gathered.String(), false
}
