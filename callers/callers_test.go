package callers

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeysLookUpByHashAndLatestOwner(t *testing.T) {
	var keys Keys[string]
	_, known := keys.Owner(Hash("secret"))
	require.False(t, known)

	keys.Add(Hash("secret"), "andina")
	keys.Add(Hash("secret"), "nitra")
	owner, known := keys.Owner(Hash("secret"))
	require.True(t, known)
	require.Equal(t, "nitra", owner)
	require.Equal(t, 1, keys.Len())

	_, known = keys.Owner(Hash("Secret"))
	require.False(t, known)
}

func TestParseHashRejectsInvalidInput(t *testing.T) {
	hash := Hash("secret")
	parsed, valid := ParseHash(hash.String())
	require.True(t, valid)
	require.Equal(t, hash, parsed)
	for _, wrong := range []string{"", "secret", hash.String()[1:], hash.String() + "00"} {
		_, valid := ParseHash(wrong)
		require.False(t, valid, wrong)
	}
}

func FuzzParseHash(f *testing.F) {
	f.Add("", "00")
	f.Add("secret", Hash("secret").String())
	f.Fuzz(func(t *testing.T, key, digits string) {
		if _, valid := ParseHash(digits); valid {
			require.Len(t, digits, 2*len(KeyHash{}))
		}
		parsed, valid := ParseHash(Hash(key).String())
		require.True(t, valid)
		require.Equal(t, Hash(key), parsed)
	})
}
