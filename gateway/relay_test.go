package gateway

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

const (
	eventOne = "data: {\"n\":1}\n\n"
	eventTwo = "data: {\"n\":2}\n\n"
	eventEnd = "data: [DONE]\n\n"
)

func relayAll(source io.Reader) (string, relayResult) {
	var out bytes.Buffer
	result := relay(source, func() {}, func(data []byte) error {
		_, err := out.Write(data)
		return err
	}, func() {})
	return out.String(), result
}

func TestRelayForwardsOnlyCompleteEvents(t *testing.T) {
	complete := eventOne + eventTwo + eventEnd
	for cut := range len(complete) {
		text, ended := relayAll(iotest.OneByteReader(strings.NewReader(complete[:cut])))
		require.True(t, strings.HasPrefix(complete, text))
		require.False(t, ended.complete, "cut at %d", cut)
		require.Error(t, ended.readErr)
		require.True(t, text == "" || strings.HasSuffix(text, "\n\n"), "cut at %d forwarded part of an event", cut)
	}
	text, ended := relayAll(strings.NewReader(complete + "data: of another answer\n\n"))
	require.Equal(t, complete, text, "nothing may follow the done marker")
	require.True(t, ended.complete)
	require.Equal(t, 3, ended.events)
}

func TestRelayForwardsLongEvents(t *testing.T) {
	long := "data: " + strings.Repeat("x", 3*relayBufferBytes) + "\n\n"
	text, ended := relayAll(strings.NewReader(long + eventEnd))
	require.Equal(t, long+eventEnd, text)
	require.True(t, ended.complete)
}

func TestRelayStopsWhenCallerDisconnects(t *testing.T) {
	gone := errors.New("gone")
	ended := relay(strings.NewReader(eventOne+eventEnd), func() {}, func([]byte) error { return gone }, func() {})
	require.ErrorIs(t, ended.writeErr, gone)
	require.False(t, ended.complete)
}

// BenchmarkRelayToken measures the relay of one event per token.
func BenchmarkRelayToken(b *testing.B) {
	event := []byte(`data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"barcode "},"finish_reason":null}]}` + "\n\n")
	source := &repeatReader{event: event, remaining: b.N}
	b.ReportAllocs()
	b.SetBytes(int64(len(event)))
	relay(source, func() {}, func([]byte) error { return nil }, func() {})
}

// repeatReader returns one event per read, as an engine does.
type repeatReader struct {
	event     []byte
	remaining int
}

func (r *repeatReader) Read(data []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	r.remaining--
	return copy(data, r.event), nil
}
