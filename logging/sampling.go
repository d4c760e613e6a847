package logging

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxLinesPerWindow is how many lines with the same key are written per sampleWindow; the
	// next line written reports how many were suppressed.
	maxLinesPerWindow = 5
	sampleWindow      = time.Second
	// maxSampleKeys bounds the keys counted at the same time.
	maxSampleKeys = 256
)

// cause is the key of sampling: lines with equal keys count as repetitions.
type cause struct {
	message, cause, dependency, outcome string
}

// sampleCount counts the lines of one key in the current window.
type sampleCount struct {
	windowStart time.Time
	written     int
	suppressed  int // lines not written since the last one written
}

// SamplingFormatter suppresses repeated lines with the same message, cause, dependency and
// outcome. It writes every line that names a request or has no cause.
type SamplingFormatter struct {
	logrus.Formatter
	now func() time.Time

	mutex  sync.Mutex
	counts map[cause]*sampleCount
}

// NewSamplingFormatter returns a sampling formatter that wraps formatter.
func NewSamplingFormatter(formatter logrus.Formatter) *SamplingFormatter {
	return &SamplingFormatter{Formatter: formatter, now: time.Now, counts: map[cause]*sampleCount{}}
}

// Format implements logrus.Formatter; it returns no bytes for a suppressed line.
func (s *SamplingFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	if entry.Data[Cause] == nil || entry.Data[RequestID] != nil {
		return s.Formatter.Format(entry)
	}
	admitted, suppressed := s.admit(causeOf(entry))
	if !admitted {
		return nil, nil
	}
	if suppressed > 0 {
		entry = withField(entry, Suppressed, suppressed)
	}
	return s.Formatter.Format(entry)
}

// withField returns a copy of entry with one more field. It copies level, message and caller
// itself, because logrus leaves them out of the copy.
func withField(entry *logrus.Entry, field string, value any) *logrus.Entry {
	extended := entry.WithField(field, value)
	extended.Level, extended.Message, extended.Caller = entry.Level, entry.Message, entry.Caller
	return extended
}

func causeOf(entry *logrus.Entry) cause {
	text := func(field string) string {
		value, _ := entry.Data[field].(string)
		return value
	}
	return cause{entry.Message, text(Cause), text(Dependency), text(Outcome)}
}

// admit reports whether a line is written, and how many lines with the same key were suppressed
// since the last one written.
func (s *SamplingFormatter) admit(key cause) (admitted bool, suppressed int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	count := s.counts[key]
	if count == nil {
		if len(s.counts) >= maxSampleKeys {
			clear(s.counts) // loses the counts of suppressed lines
		}
		count = &sampleCount{windowStart: now}
		s.counts[key] = count
	}
	if now.Sub(count.windowStart) >= sampleWindow {
		count.windowStart, count.written = now, 0
	}
	if count.written >= maxLinesPerWindow {
		count.suppressed++
		return false, 0
	}
	count.written++
	suppressed, count.suppressed = count.suppressed, 0
	return true, suppressed
}
