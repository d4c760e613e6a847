package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFingerprintIdentifiesRequestAcrossAttempts(t *testing.T) {
	first := Identity{Method: "POST", Host: "shop.example", Path: "/live/1", Query: "a=2", Caller: "10.0.0.1", Body: []byte("draw")}
	require.Equal(t, first.Fingerprint(), first.Fingerprint())
	require.Len(t, first.Fingerprint().String(), 2*FingerprintBytes)
	later := first
	later.Query = "a=3"
	require.Equal(t, first.Fingerprint(), later.Fingerprint(), "the query does not count if the request has a body")
	lookup, other := first, first
	lookup.Body, other.Body, other.Query = nil, nil, "a=3"
	require.NotEqual(t, lookup.Fingerprint(), other.Fingerprint(), "the query counts if the request has no body")
	for name, change := range map[string]func(*Identity){
		"method": func(i *Identity) { i.Method = "GET" },
		"host":   func(i *Identity) { i.Host = "other.example" },
		"path":   func(i *Identity) { i.Path = "/live/2" },
		"caller": func(i *Identity) { i.Caller = "10.0.0.2" },
		"body":   func(i *Identity) { i.Body = []byte("drawn") },
		"border": func(i *Identity) { i.Caller, i.Body = "10.0.0.1d", []byte("raw") },
	} {
		other := first
		change(&other)
		require.NotEqual(t, first.Fingerprint(), other.Fingerprint(), name)
	}
}
