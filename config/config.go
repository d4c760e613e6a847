// Package config reads and validates a daemon's own settings file: addresses, zone, peers
// and platform endpoints. Package settings describes the models that the system serves.
package config

import (
	"bytes"
	stderrors "errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/finchspoke/finchspoke/failure"
)

// Config is a daemon's settings file. Addresses consist of an IP address and a port.
type Config struct {
	// ID uniquely identifies the daemon; it defaults to the advertised RPC address.
	ID       string   `yaml:"id"`
	Region   string   `yaml:"region" validate:"required"`
	Zone     string   `yaml:"zone" validate:"required"`
	Listen   Listen   `yaml:"listen"`
	Peers    []string `yaml:"peers" validate:"dive,address"` // RPC addresses of some daemons
	Platform Platform `yaml:"platform"`
	// OperatorToken is the bearer token required of operators; none is required if empty.
	OperatorToken string `yaml:"operator_token"`
	// GossipKeys authenticate membership packets: the first signs, any verifies.
	GossipKeys     []string `yaml:"gossip_keys" validate:"dive,min=16"`
	MaxConnections int      `yaml:"max_connections" validate:"min=1"`
	// DrainTimeout limits how long a graceful shutdown waits for running requests.
	DrainTimeout time.Duration `yaml:"drain_timeout" validate:"min=0"`
	// ProbeInterval is the interval between membership probes.
	ProbeInterval time.Duration `yaml:"probe_interval" validate:"min=10ms"`
	LogLevel      string        `yaml:"log_level" validate:"oneof=debug info warn error"`
	TLS           TLS           `yaml:"tls"`
}

// Listen holds the addresses to listen on; port 0 selects a free port.
type Listen struct {
	Gateway string `yaml:"gateway" validate:"address"` // callers, HTTP
	RPC     string `yaml:"rpc" validate:"address"`     // daemons, TCP
	Gossip  string `yaml:"gossip" validate:"address"`  // daemons, UDP
	Admin   string `yaml:"admin" validate:"address"`   // operators, HTTP
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	KeyValue    string `yaml:"key_value" validate:"address"`
	MachineList string `yaml:"machine_list" validate:"address"`
}

// TLS holds the certificate for HTTPS on the gateway, which serves HTTP without it.
type TLS struct {
	CertificateFile string `yaml:"certificate_file" validate:"required_with=KeyFile"`
	KeyFile         string `yaml:"key_file" validate:"required_with=CertificateFile"`
}

// Default returns the default settings.
func Default() Config {
	return Config{
		Listen: Listen{
			Gateway: "127.0.0.1:8080", RPC: "127.0.0.1:8081", Gossip: "127.0.0.1:8081", Admin: "127.0.0.1:8082",
		},
		MaxConnections: 8192,
		DrainTimeout:   10 * time.Minute,
		ProbeInterval:  time.Second,
		LogLevel:       "info",
	}
}

// Load reads a settings file on top of the defaults. It does not validate the values.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, failure.Wrap(err, failure.InvalidConfig, "specify an existing file with --config", "cannot read the settings file")
	}
	return Parse(path, text)
}

// Parse decodes text on top of the defaults. Unknown keys are errors with their line.
func Parse(name string, text []byte) (Config, error) {
	parsed := Default()
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	err := decoder.Decode(&parsed)
	if err == nil || stderrors.Is(err, io.EOF) {
		return parsed, nil
	}
	position := name
	message := err.Error()
	var yamlErr yaml.Error
	if stderrors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		token := yamlErr.GetToken().Position
		position = fmt.Sprintf("%s:%d:%d", name, token.Line, token.Column)
		message = yamlErr.GetMessage()
	}
	return Config{}, failure.New(failure.InvalidConfig, "see docs/OPERATIONS.md for the keys of a daemon's settings file",
		"%s: %s", position, message)
}

// Check returns an error for the first value that is missing or invalid.
func (c Config) Check() error {
	validate := validator.New(validator.WithRequiredStructEnabled())
	if err := validate.RegisterValidation("address", isAddress); err != nil {
		return failure.Wrap(err, failure.Internal, "", "register validation")
	}
	err := validate.Struct(c)
	var invalid validator.ValidationErrors
	if stderrors.As(err, &invalid) {
		first := invalid[0]
		return failure.New(failure.InvalidConfig, remedyFor(first), "%s: %q is not valid", first.Namespace(), fmt.Sprint(first.Value()))
	}
	if err != nil {
		return failure.Wrap(err, failure.InvalidConfig, "", "check settings file")
	}
	return nil
}

func isAddress(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}

func remedyFor(fieldError validator.FieldError) string {
	switch fieldError.Tag() {
	case "address":
		return "specify an IP address and a port, like 127.0.0.1:8080"
	case "required":
		return "specify a value in the settings file or by its flag"
	case "oneof":
		return "use one of: " + fieldError.Param()
	case "min":
		return "use at least " + fieldError.Param()
	}
	return "specify both the certificate and the key file"
}
