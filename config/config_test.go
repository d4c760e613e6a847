package config_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/config"
	"github.com/finchspoke/finchspoke/failure"
)

func TestExampleIsValid(t *testing.T) {
	loaded, err := config.Load("../examples/daemon.yaml")
	require.NoError(t, err)
	require.NoError(t, loaded.Check())
	require.Equal(t, "nitra-a", loaded.Zone)
	require.Equal(t, 10*time.Minute, loaded.DrainTimeout)
}

func TestInvalidSettingsReportLocationAndRemedy(t *testing.T) {
	_, err := config.Parse("daemon.yaml", []byte("region: r\nzoon: z\n"))
	require.True(t, failure.Is(err, failure.InvalidConfig))
	require.ErrorContains(t, err, "daemon.yaml:2:1")
	for _, test := range []struct{ name, text, want string }{
		{"host name", "region: r\nzone: z\nplatform: {key_value: 'etcd:2379', machine_list: '127.0.0.1:1'}", "Config.Platform.KeyValue"},
		{"no zone", "region: r\nplatform: {key_value: '127.0.0.1:1', machine_list: '127.0.0.1:1'}", "Config.Zone"},
		{"log level", "region: r\nzone: z\nlog_level: loud\nplatform: {key_value: '127.0.0.1:1', machine_list: '127.0.0.1:1'}", "Config.LogLevel"},
		{"short gossip key", "region: r\nzone: z\ngossip_keys: [short]\nplatform: {key_value: '127.0.0.1:1', machine_list: '127.0.0.1:1'}", "GossipKeys[0]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			parsed, err := config.Parse("daemon.yaml", []byte(test.text))
			require.NoError(t, err)
			err = parsed.Check()
			require.ErrorContains(t, err, test.want)
			require.ErrorContains(t, err, "remedy")
		})
	}
}
