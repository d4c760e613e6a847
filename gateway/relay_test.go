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

func relayAll(source io.Reader) (string, relayed) {
	var out bytes.Buffer
	ended := relay(source, func() {}, func(data []byte) error {
		_, err := out.Write(data)
		return err
	}, func() {})
	return out.String(), ended
}

func TestRelayPassesWholeEventsOnly(t *testing.T) {
	whole := eventOne + eventTwo + eventEnd
	for cut := range len(whole) {
		text, ended := relayAll(iotest.OneByteReader(strings.NewReader(whole[:cut])))
		require.True(t, strings.HasPrefix(whole, text))
		require.False(t, ended.whole, "cut at %d", cut)
		require.Error(t, ended.readErr)
		require.True(t, text == "" || strings.HasSuffix(text, "\n\n"), "cut at %d passed part of an event", cut)
	}
	text, ended := relayAll(strings.NewReader(whole + "data: of another answer\n\n"))
	require.Equal(t, whole, text, "nothing follows the end mark")
	require.True(t, ended.whole)
	require.Equal(t, 3, ended.events)
}

func TestRelayPassesLongEvents(t *testing.T) {
	long := "data: " + strings.Repeat("x", 3*relayBufferBytes) + "\n\n"
	text, ended := relayAll(strings.NewReader(long + eventEnd))
	require.Equal(t, long+eventEnd, text)
	require.True(t, ended.whole)
}

func TestRelayStopsWhenCallerLeaves(t *testing.T) {
	gone := errors.New("gone")
	ended := relay(strings.NewReader(eventOne+eventEnd), func() {}, func([]byte) error { return gone }, func() {})
	require.ErrorIs(t, ended.writeErr, gone)
	require.False(t, ended.whole)
}

// BenchmarkRelayToken measures the relay of one token's event.
func BenchmarkRelayToken(b *testing.B) {
	event := []byte(`data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"barcode "},"finish_reason":null}]}` + "\n\n")
	source := &repeatReader{event: event, left: b.N}
	b.ReportAllocs()
	b.SetBytes(int64(len(event)))
	relay(source, func() {}, func([]byte) error { return nil }, func() {})
}

// repeatReader gives an event at a time, as an engine does.
type repeatReader struct {
	event []byte
	left  int
}

func (r *repeatReader) Read(data []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	return copy(data, r.event), nil
}
