// Package logging sets up the log: JSON lines on standard error.
//
// Field names are stable: request_id, model, branch, zone, daemon, engine,
// revision (of settings), plan_revision, epoch, outcome, execution.
package logging

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes JSON lines of a level and above; an unknown
// level means info.
func New(writer io.Writer, level string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(writer)
	logger.SetFormatter(NewSamplingFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap:        logrus.FieldMap{logrus.FieldKeyTime: "time", logrus.FieldKeyMsg: "message"},
	}))
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	logger.SetLevel(parsed)
	return logger
}
