// Package daypage renders the event counts of a logstory.Day as one HTML page of plots.
package daypage

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/wcharczuk/go-chart/v2"

	"github.com/finchspoke/finchspoke/logstory"
)

const (
	plotWidth    = 1100
	plotHeight   = 260
	legendHeight = 30 // padding above the plot
	// maxKinds bounds the kinds that a plot shows as separate lines; one more line sums the others.
	maxKinds   = 7
	otherKinds = "others"
	lineWidth  = 1.5
)

// line is one data series of a plot.
type line struct {
	name   string
	values []float64
}

// plot is one chart of the page.
type plot struct {
	Title   string
	Meaning string
	lines   []line
	Picture template.HTML
}

// termStart is the second in which a daemon became leader.
type termStart struct {
	Second int
	Daemon string
}

// page is the data of pageTemplate.
type page struct {
	From      string
	Seconds   int
	Filter    string
	Lines     int
	Malformed int
	Plots     []*plot
	Terms     []termStart
}

// Write writes the HTML page of a day.
func Write(writer io.Writer, day *logstory.Day) error {
	from, seconds := day.Seconds()
	if len(seconds) == 0 {
		return errors.New("the logs hold no request, load or lost dependency; pass the logs of all daemons at level info")
	}
	data := page{From: from.Format(time.RFC3339), Seconds: len(seconds), Filter: filterText(day.Filter), Lines: day.Lines, Malformed: day.Malformed, Plots: buildPlots(seconds)}
	for index, second := range seconds {
		for _, daemon := range second.Terms {
			data.Terms = append(data.Terms, termStart{index, daemon})
		}
	}
	for _, plot := range data.Plots {
		if err := plot.draw(); err != nil {
			return err
		}
	}
	return errors.Wrap(pageTemplate.Execute(writer, data), "write page")
}

func filterText(filter logstory.Filter) string {
	var parts []string
	for _, part := range []struct{ name, value string }{{"model", filter.Model}, {"replica", filter.Replica}, {"tenant", filter.Tenant}} {
		if part.value != "" {
			parts = append(parts, part.name+" "+part.value)
		}
	}
	return strings.Join(parts, ", ")
}

func buildPlots(seconds []logstory.Second) []*plot {
	return []*plot{
		{Title: "Requests", Meaning: "per second: arrivals in the second of arrival, responses in the second in which they ended",
			lines: []line{
				newLine("arrivals", seconds, func(second logstory.Second) int { return second.Arrived }),
				newLine("answered in time", seconds, func(second logstory.Second) int { return second.InTime }),
				newLine("answered late", seconds, func(second logstory.Second) int { return second.Late }),
			}},
		{Title: "Not served, by reason", Meaning: "requests per second that ended without a complete response",
			lines: linesByKind(seconds, func(second logstory.Second) map[string]int { return second.NotServed })},
		{Title: "Loads in progress", Meaning: "models and adapters, by the source of the weights, for their expected duration", lines: pendingLoads(seconds)},
		{Title: "Lost dependencies", Meaning: "connections to other daemons or to the key-value service that daemons lost per second, through a fault or by connecting to another daemon",
			lines: linesByKind(seconds, func(second logstory.Second) map[string]int { return second.LostDependencies })},
	}
}

func newLine(name string, seconds []logstory.Second, value func(logstory.Second) int) line {
	result := line{name, make([]float64, len(seconds))}
	for index, second := range seconds {
		result.values[index] = float64(value(second))
	}
	return result
}

// linesByKind returns a line for each kind, most frequent first.
func linesByKind(seconds []logstory.Second, counts func(logstory.Second) map[string]int) []line {
	totals := map[string]int{}
	for _, second := range seconds {
		for kind, count := range counts(second) {
			totals[kind] += count
		}
	}
	kinds := slices.SortedFunc(maps.Keys(totals), func(a, b string) int {
		if totals[a] != totals[b] {
			return totals[b] - totals[a]
		}
		return strings.Compare(a, b)
	})
	shown := kinds[:min(maxKinds, len(kinds))]
	var lines []line
	for _, kind := range shown {
		lines = append(lines, newLine(kind, seconds, func(current logstory.Second) int { return counts(current)[kind] }))
	}
	if len(kinds) > len(shown) {
		lines = append(lines, newLine(otherKinds, seconds, func(current logstory.Second) int {
			sum := 0
			for kind, count := range counts(current) {
				if !slices.Contains(shown, kind) {
					sum += count
				}
			}
			return sum
		}))
	}
	return lines
}

func pendingLoads(seconds []logstory.Second) []line {
	lines := linesByKind(seconds, func(current logstory.Second) map[string]int { return current.LoadsStarted })
	for _, current := range lines {
		pending := 0.0
		for index, second := range seconds {
			started := current.values[index]
			current.values[index] = pending + started
			pending += started - float64(second.LoadsCompleted[current.name])
		}
	}
	return lines
}

// draw renders the plot as SVG.
func (p *plot) draw() error {
	if len(p.lines) == 0 {
		p.Picture = "<p>None.</p>"
		return nil
	}
	graph := chart.Chart{Width: plotWidth, Height: plotHeight, Background: chart.Style{Padding: chart.Box{Top: legendHeight, Right: legendHeight}}, XAxis: chart.XAxis{Name: "seconds", ValueFormatter: chart.IntValueFormatter},
		YAxis: chart.YAxis{ValueFormatter: chart.IntValueFormatter, Range: &chart.ContinuousRange{Min: 0, Max: p.maxValue()}}}
	for _, series := range p.lines {
		seconds := make([]float64, 0, len(series.values)+1)
		for index := range series.values {
			seconds = append(seconds, float64(index))
		}
		values := series.values
		if len(values) == 1 { // the chart needs two points
			seconds, values = append(seconds, 1), append(values, values[0])
		}
		graph.Series = append(graph.Series, chart.ContinuousSeries{Name: template.HTMLEscapeString(series.name), XValues: seconds, YValues: values, Style: chart.Style{StrokeWidth: lineWidth}})
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	var picture bytes.Buffer
	if err := graph.Render(chart.SVG, &picture); err != nil {
		return errors.Wrapf(err, "draw %q", p.Title)
	}
	p.Picture = template.HTML(picture.String())
	return nil
}

// maxValue returns the upper end of the y axis.
func (p *plot) maxValue() float64 {
	maxValue := 1.0
	for _, series := range p.lines {
		maxValue = max(maxValue, slices.Max(series.values))
	}
	return maxValue
}

var pageTemplate = template.Must(template.New("day").Parse(fmt.Sprintf(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>A day of finchspoke</title>
<style>body{font-family:sans-serif;max-width:%dpx;margin:1em auto}h2{margin-bottom:0}p{margin-top:.2em}</style></head><body>
<h1>A day of finchspoke</h1>
<p>From {{.From}}, {{.Seconds}} s{{if .Filter}}; requests and loads of {{.Filter}} only{{end}}. {{.Lines}} lines read{{if .Malformed}}, {{.Malformed}} of them could not be parsed and are skipped{{end}}.</p>
{{range .Plots}}<h2>{{.Title}}</h2><p>{{.Meaning}}</p>
{{.Picture}}
{{end}}<h2>Leaders</h2>
{{if .Terms}}<ul>{{range .Terms}}<li>{{.Second}} s: {{.Daemon}}</li>{{end}}</ul>{{else}}<p>No term began.</p>{{end}}
</body></html>
`, plotWidth)))
