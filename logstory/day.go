package logstory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/loader"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/logging"
)

// Filter selects the requests to count; an empty field matches all.
type Filter struct {
	Model   string
	Replica string
	Tenant  string
}

func (f Filter) matches(line Line) bool {
	return (f.Model == "" || line.text(logging.Model) == f.Model) && (f.Replica == "" || line.text(logging.Replica) == f.Replica) &&
		(f.Tenant == "" || line.text(logging.Tenant) == f.Tenant)
}

// Second counts the events within one second.
type Second struct {
	Arrived, InTime, Late int
	// NotServed counts the requests that ended in this second without a complete response, by outcome.
	NotServed map[string]int
	// LoadsStarted and LoadsCompleted count accepted loads by the source of the weights; a load
	// completes after its expected duration.
	LoadsStarted   map[string]int
	LoadsCompleted map[string]int
	// LostDependencies counts the dependencies that daemons lost, by name.
	LostDependencies map[string]int
	// Terms lists the daemons whose term as leader began.
	Terms []string
}

// Day counts events per second while it reads log lines. Its memory grows with the seconds that
// the lines span, not with the number of lines.
type Day struct {
	Filter    Filter
	Lines     int // lines read
	Malformed int // lines without valid JSON or time, or longer than maxLine
	seconds   map[int64]*Second
}

// NewDay returns an empty day that counts what filter selects.
func NewDay(filter Filter) *Day { return &Day{Filter: filter, seconds: map[int64]*Second{}} }

// secondAt returns the counts for the second of moment.
func (d *Day) secondAt(moment time.Time) *Second {
	key := moment.Unix()
	if d.seconds[key] == nil {
		d.seconds[key] = &Second{NotServed: map[string]int{}, LoadsStarted: map[string]int{}, LoadsCompleted: map[string]int{}, LostDependencies: map[string]int{}}
	}
	return d.seconds[key]
}

// Read counts the log lines of reader. It calls progress, unless nil, with the bytes read so far.
func (d *Day) Read(reader io.Reader, progress func(bytes int64)) error {
	lines := bufio.NewReaderSize(reader, maxLine)
	done := int64(0)
	for {
		data, err := lines.ReadSlice('\n')
		done += int64(len(data))
		isLong := errors.Is(err, bufio.ErrBufferFull)
		if len(data) > 0 {
			d.readLine(data, isLong)
		}
		for isLong { // skip the rest of the line
			data, err = lines.ReadSlice('\n')
			done += int64(len(data))
			isLong = errors.Is(err, bufio.ErrBufferFull)
		}
		if progress != nil {
			progress(done)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Wrap(err, "read log lines")
		}
	}
}

func (d *Day) readLine(data []byte, isLong bool) {
	d.Lines++
	start := bytes.IndexByte(data, '{')
	line := Line{Fields: map[string]any{}}
	if isLong || start < 0 || json.Unmarshal(data[start:], &line.Fields) != nil {
		d.Malformed++
		return
	}
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil {
		d.Malformed++
		return
	}
	line.Time, line.Daemon, line.Message = at, line.text(logging.Daemon), line.text("message")
	d.addLine(line)
}

// addLine counts one line.
func (d *Day) addLine(line Line) {
	switch line.Message {
	case logging.MessageRequestEnded:
		if line.text(logging.Route) != "" && d.Filter.matches(line) {
			d.addRequest(parseEndedRequest(line))
		}
	case logging.MessageLoadOrder:
		if line.text(logging.Order) == loading.Load.String() && line.text(logging.Outcome) == loader.Accepted.String() && d.matchesLoad(line) {
			source := line.text(logging.Source)
			d.secondAt(line.Time).LoadsStarted[source]++
			d.secondAt(line.Time.Add(time.Duration(line.number(logging.ReadyInMs)) * time.Millisecond)).LoadsCompleted[source]++
		}
	case logging.MessageTermStarted:
		second := d.secondAt(line.Time)
		second.Terms = append(second.Terms, line.Daemon)
	case logging.MessageDependencyLost:
		d.secondAt(line.Time).LostDependencies[line.text(logging.Dependency)]++
	}
}

// matchesLoad applies the filter to a load; a load belongs to no tenant.
func (d *Day) matchesLoad(line Line) bool {
	return Filter{Model: d.Filter.Model, Replica: d.Filter.Replica}.matches(line)
}

func (d *Day) addRequest(request endedRequest) {
	d.secondAt(request.started).Arrived++
	second := d.secondAt(request.ended)
	isLate := request.firstByte > request.objective || request.gapTarget > 0 && request.pause > request.gapTarget
	switch {
	case request.outcome != logging.OutcomeAnswered:
		second.NotServed[request.outcome]++
	case isLate:
		second.Late++
	default:
		second.InTime++
	}
}

// Seconds returns the counts from the first second to the last, seconds without events included,
// and the start of the first.
func (d *Day) Seconds() (from time.Time, seconds []Second) {
	if len(d.seconds) == 0 {
		return time.Time{}, nil
	}
	keys := slices.Sorted(maps.Keys(d.seconds))
	first, last := keys[0], keys[len(keys)-1]
	for key := first; key <= last && len(seconds) < maxSeconds; key++ {
		if second := d.seconds[key]; second != nil {
			seconds = append(seconds, *second)
		} else {
			seconds = append(seconds, Second{})
		}
	}
	return time.Unix(first, 0).UTC(), seconds
}

// maxSeconds bounds the result to two days, so that a line with a wrong time cannot exhaust memory.
const maxSeconds = 2 * 24 * 3600
