package lab

import (
	"encoding/json"
	"net/http"
	"strings"
)

// responseBody is the decoded part of a response or of one stream event.
type responseBody struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// decodeResponse returns the generated text and whether it is complete, or the raw body of an error response.
func decodeResponse(response *http.Response, body []byte) (text string, complete bool) {
	if response.StatusCode != http.StatusOK {
		return string(body), false
	}
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		var parsed responseBody
		if err := json.Unmarshal(body, &parsed); err != nil || len(parsed.Choices) == 0 {
			return string(body), false
		}
		return parsed.Choices[0].Message.Content, true
	}
	var content strings.Builder
	for _, line := range strings.Split(string(body), "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return content.String(), true
		}
		var event responseBody
		if err := json.Unmarshal([]byte(data), &event); err == nil && len(event.Choices) > 0 {
			content.WriteString(event.Choices[0].Delta.Content)
		}
	}
	return content.String(), false
}
