// Package config reads and checks a daemon's own settings file: addresses, zone,
// peers and platform endpoints. What the system serves is in package settings.
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

// Config is a daemon's settings file. All addresses are an IP number and a port.
type Config struct {
	// ID is unique to the daemon; the advertised rpc address if empty.
	ID       string   `yaml:"id"`
	Region   string   `yaml:"region" validate:"required"`
	Zone     string   `yaml:"zone" validate:"required"`
	Listen   Listen   `yaml:"listen"`
	Peers    []string `yaml:"peers" validate:"dive,address"` // rpc addresses of some daemons
	Platform Platform `yaml:"platform"`
	// OperatorToken, when set, is asked of operators as a bearer token.
	OperatorToken string `yaml:"operator_token"`
	// GossipKeys authenticate membership packets: the first signs, any verifies.
	GossipKeys     []string `yaml:"gossip_keys" validate:"dive,min=16"`
	MaxConnections int      `yaml:"max_connections" validate:"min=1"`
	// DrainTimeout bounds how long a planned stop waits for running requests.
	DrainTimeout time.Duration `yaml:"drain_timeout" validate:"min=0"`
	// ProbeInterval is the time between membership probes.
	ProbeInterval time.Duration `yaml:"probe_interval" validate:"min=10ms"`
	LogLevel      string        `yaml:"log_level" validate:"oneof=debug info warn error"`
	TLS           TLS           `yaml:"tls"`
}

// Listen holds the addresses to listen on; port 0 takes a free one.
type Listen struct {
	Gateway string `yaml:"gateway" validate:"address"` // callers, HTTP
	RPC     string `yaml:"rpc" validate:"address"`     // daemons, TCP
	Gossip  string `yaml:"gossip" validate:"address"`  // daemons, UDP
	Admin   string `yaml:"admin" validate:"address"`   // operators, HTTP
}

// Platform holds the addresses of the platform's systems.
type Platform struct {
	KeyValue    string `yaml:"key_value" validate:"address"`
	MachineList string `yaml:"machine_list" validate:"address"`
}

// TLS, when set, makes the gateway serve HTTPS.
type TLS struct {
	CertificateFile string `yaml:"certificate_file" validate:"required_with=KeyFile"`
	KeyFile         string `yaml:"key_file" validate:"required_with=CertificateFile"`
}

// Default returns the settings that hold where a file says nothing.
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

// Load reads a file over the defaults, without checking it.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, failure.Wrap(err, failure.InvalidConfig, "name an existing file with --config", "the settings file cannot be read")
	}
	return Parse(path, text)
}

// Parse reads text over the defaults. Unknown keys are refused with their line.
func Parse(name string, text []byte) (Config, error) {
	parsed := Default()
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	err := decoder.Decode(&parsed)
	if err == nil || stderrors.Is(err, io.EOF) {
		return parsed, nil
	}
	position := name
	message := err.Error()
	var located yaml.Error
	if stderrors.As(err, &located) && located.GetToken() != nil {
		at := located.GetToken().Position
		position = fmt.Sprintf("%s:%d:%d", name, at.Line, at.Column)
		message = located.GetMessage()
	}
	return Config{}, failure.New(failure.InvalidConfig, "see docs/OPERATIONS.md for the keys of a daemon's settings file",
		"%s: %s", position, message)
}

// Check reports the first value that is missing or not valid.
func (c Config) Check() error {
	checker := validator.New(validator.WithRequiredStructEnabled())
	if err := checker.RegisterValidation("address", isAddress); err != nil {
		return failure.Wrap(err, failure.Internal, "", "register validation")
	}
	err := checker.Struct(c)
	var wrong validator.ValidationErrors
	if stderrors.As(err, &wrong) {
		first := wrong[0]
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

func remedyFor(wrong validator.FieldError) string {
	switch wrong.Tag() {
	case "address":
		return "give an IP number and a port, like 127.0.0.1:8080"
	case "required":
		return "give a value in the settings file or by its flag"
	case "oneof":
		return "use one of: " + wrong.Param()
	case "min":
		return "use at least " + wrong.Param()
	}
	return "give both the certificate and the key file"
}
