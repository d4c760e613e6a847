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

// Filter names what a day's requests are counted of; empty fields: of all.
type Filter struct {
	Model   string
	Replica string
	Tenant  string
}

func (f Filter) takes(line Line) bool {
	return (f.Model == "" || line.text(logging.Model) == f.Model) && (f.Replica == "" || line.text(logging.Replica) == f.Replica) &&
		(f.Tenant == "" || line.text(logging.Tenant) == f.Tenant)
}

// Second is what happened within one second of a day.
type Second struct {
	Arrived, InTime, Late int
	// NotServed are the requests that ended without a whole answer, by outcome, in the second of
	// their end.
	NotServed map[string]int
	// LoadsStarted and LoadsCompleted are accepted loads, by where the weights came from.
	LoadsStarted   map[string]int
	LoadsCompleted map[string]int
	// Lost are the dependencies that daemons lost, by name.
	LostDependencies map[string]int
	// Terms are the daemons whose term as the holder of load orders began.
	Terms []string
}

// Day gathers a day from log lines as they are read: what it keeps grows with the seconds of the day,
// and not with the lines.
type Day struct {
	Filter    Filter
	Lines     int // that were read
	Malformed int // without JSON, cut, or longer than a megabyte
	seconds   map[int64]*Second
}

// NewDay returns a day without lines.
func NewDay(filter Filter) *Day { return &Day{Filter: filter, seconds: map[int64]*Second{}} }

// at returns the second of a moment.
func (d *Day) at(moment time.Time) *Second {
	key := moment.Unix()
	if d.seconds[key] == nil {
		d.seconds[key] = &Second{NotServed: map[string]int{}, LoadsStarted: map[string]int{}, LoadsCompleted: map[string]int{}, LostDependencies: map[string]int{}}
	}
	return d.seconds[key]
}

// Read takes in log lines. read is told how many bytes were read so far; nil: nobody is.
func (d *Day) Read(reader io.Reader, read func(bytes int64)) error {
	lines := bufio.NewReaderSize(reader, maxLine)
	done := int64(0)
	for {
		data, err := lines.ReadSlice('\n')
		done += int64(len(data))
		isLong := errors.Is(err, bufio.ErrBufferFull)
		if len(data) > 0 {
			d.readLine(data, isLong)
		}
		for isLong { // the rest of it
			data, err = lines.ReadSlice('\n')
			done += int64(len(data))
			isLong = errors.Is(err, bufio.ErrBufferFull)
		}
		if read != nil {
			read(done)
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
	d.take(line)
}

// take counts one line.
func (d *Day) take(line Line) {
	switch line.Message {
	case logging.MessageRequestEnded:
		if line.text(logging.Route) != "" && d.Filter.takes(line) {
			d.takeRequest(readEnd(line))
		}
	case logging.MessageLoadOrder:
		if line.text(logging.Order) == loading.Load.String() && line.text(logging.Outcome) == loader.Accepted.String() && d.takesLoad(line) {
			source := line.text(logging.Source)
			d.at(line.Time).LoadsStarted[source]++
			d.at(line.Time.Add(time.Duration(line.number(logging.ReadyInMs)) * time.Millisecond)).LoadsCompleted[source]++
		}
	case logging.MessageTermStarted:
		second := d.at(line.Time)
		second.Terms = append(second.Terms, line.Daemon)
	case logging.MessageDependencyLost:
		d.at(line.Time).LostDependencies[line.text(logging.Dependency)]++
	}
}

// takesLoad tells whether a load counts: it belongs to no tenant.
func (d *Day) takesLoad(line Line) bool {
	return Filter{Model: d.Filter.Model, Replica: d.Filter.Replica}.takes(line)
}

func (d *Day) takeRequest(request endedRequest) {
	d.at(request.began).Arrived++
	second := d.at(request.ended)
	isLate := request.firstByte > request.objective || request.gap > 0 && request.pause > request.gap
	switch {
	case request.outcome != logging.OutcomeAnswered:
		second.NotServed[request.outcome]++
	case isLate:
		second.Late++
	default:
		second.InTime++
	}
}

// Seconds returns the day's seconds from the first to the last, those without lines included, and when
// the first began.
func (d *Day) Seconds() (from time.Time, seconds []Second) {
	if len(d.seconds) == 0 {
		return time.Time{}, nil
	}
	keys := slices.Sorted(maps.Keys(d.seconds))
	first, last := keys[0], keys[len(keys)-1]
	for key := first; key <= last && len(seconds) < mostSeconds; key++ {
		if known := d.seconds[key]; known != nil {
			seconds = append(seconds, *known)
		} else {
			seconds = append(seconds, Second{})
		}
	}
	return time.Unix(first, 0).UTC(), seconds
}

// mostSeconds bounds a picture: two days. A line with a wrong time of day must not make it endless.
const mostSeconds = 2 * 24 * 3600
