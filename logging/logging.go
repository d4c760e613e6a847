// Package logging sets up structured logging as JSON lines, and names the fields and messages
// that tools match on.
package logging

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes JSON lines at the given level and above; an unknown
// level is read as info.
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
