package logging

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// sampledLines is how many lines of one cause are written in sampledWindow; the
	// next that is written tells how many were left out.
	sampledLines  = 5
	sampledWindow = time.Second
	// mostCauses bounds the causes that are counted at once.
	mostCauses = 256
)

// cause is what makes two lines the same but for their time.
type cause struct {
	message, cause, dependency, outcome string
}

// seenCause counts the lines of a cause.
type seenCause struct {
	since   time.Time
	written int
	left    int // lines left out
}

// Sampling is a formatter that leaves out lines of a cause which repeats itself. Lines
// that name a request, and lines without a cause, are all kept.
type SamplingFormatter struct {
	logrus.Formatter
	now func() time.Time

	mutex sync.Mutex
	seen  map[cause]*seenCause
}

// NewSamplingFormatter returns a sampling formatter over another.
func NewSamplingFormatter(formatter logrus.Formatter) *SamplingFormatter {
	return &SamplingFormatter{Formatter: formatter, now: time.Now, seen: map[cause]*seenCause{}}
}

// Format implements logrus.Formatter; it returns nothing for a line that is left out.
func (s *SamplingFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	if entry.Data[Cause] == nil || entry.Data[RequestID] != nil {
		return s.Formatter.Format(entry)
	}
	kept, left := s.admit(causeOf(entry))
	if !kept {
		return nil, nil
	}
	if left > 0 {
		entry = withField(entry, Suppressed, left)
	}
	return s.Formatter.Format(entry)
}

// withField returns a line with one more field. logrus makes an entry for a line yet to
// be written, which has neither level nor message.
func withField(entry *logrus.Entry, field string, value any) *logrus.Entry {
	marked := entry.WithField(field, value)
	marked.Level, marked.Message, marked.Caller = entry.Level, entry.Message, entry.Caller
	return marked
}

func causeOf(entry *logrus.Entry) cause {
	text := func(field string) string {
		value, _ := entry.Data[field].(string)
		return value
	}
	return cause{entry.Message, text(Cause), text(Dependency), text(Outcome)}
}

// admit tells whether a line is written, and how many of its cause were left out
// since the last that was.
func (s *SamplingFormatter) admit(key cause) (kept bool, left int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	known := s.seen[key]
	if known == nil {
		if len(s.seen) >= mostCauses {
			clear(s.seen) // rare: counts of lines left out are lost
		}
		known = &seenCause{since: now}
		s.seen[key] = known
	}
	if now.Sub(known.since) >= sampledWindow {
		known.since, known.written = now, 0
	}
	if known.written >= sampledLines {
		known.left++
		return false, 0
	}
	known.written++
	left, known.left = known.left, 0
	return true, left
}
