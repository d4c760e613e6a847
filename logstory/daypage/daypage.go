// Package daypage makes one HTML page with plots of a day from what package logstory has read.
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
	legendHeight = 30 // above the plot
	// mostKinds bounds the lines of one plot; the rest are added up.
	mostKinds = 7
	restKind  = "others"
	lineWidth = 1.5
)

// line is one line of a plot.
type line struct {
	name   string
	values []float64
}

// plot is one picture of the page.
type plot struct {
	Title   string
	Meaning string
	lines   []line
	Picture template.HTML
}

// term is when a daemon began to hold the load orders.
type term struct {
	Second int
	Daemon string
}

// page is what the template is filled from.
type page struct {
	From       string
	Seconds    int
	Filter     string
	Lines      int
	Unreadable int
	Plots      []*plot
	Terms      []term
}

// Write writes the page of a day.
func Write(writer io.Writer, day *logstory.Day) error {
	from, seconds := day.Seconds()
	if len(seconds) == 0 {
		return errors.New("no line tells of a request, a load or a lost dependency; give the logs of all daemons at level info")
	}
	made := page{From: from.Format(time.RFC3339), Seconds: len(seconds), Filter: filterText(day.Filter), Lines: day.Lines, Unreadable: day.Malformed, Plots: plotsOf(seconds)}
	for index, second := range seconds {
		for _, daemon := range second.Terms {
			made.Terms = append(made.Terms, term{index, daemon})
		}
	}
	for _, one := range made.Plots {
		if err := one.draw(); err != nil {
			return err
		}
	}
	return errors.Wrap(pageTemplate.Execute(writer, made), "write the page")
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

func plotsOf(seconds []logstory.Second) []*plot {
	return []*plot{
		{Title: "Requests", Meaning: "a second: arrivals in the second in which they came, the others in that of their end",
			lines: []line{
				lineOf("arrivals", seconds, func(one logstory.Second) int { return one.Arrived }),
				lineOf("answered in time", seconds, func(one logstory.Second) int { return one.InTime }),
				lineOf("answered late", seconds, func(one logstory.Second) int { return one.Late }),
			}},
		{Title: "Not served, by reason", Meaning: "requests a second that ended without a whole answer",
			lines: linesByKind(seconds, func(one logstory.Second) map[string]int { return one.NotServed })},
		{Title: "Loads under way", Meaning: "models and adapters, by where the weights come from, as long as they should take", lines: loadsUnderWay(seconds)},
		{Title: "Lost dependencies", Meaning: "daemons a second that lost another daemon or the key-value service: a fault, or a move to another",
			lines: linesByKind(seconds, func(one logstory.Second) map[string]int { return one.LostDependencies })},
	}
}

func lineOf(name string, seconds []logstory.Second, value func(logstory.Second) int) line {
	made := line{name, make([]float64, len(seconds))}
	for index, second := range seconds {
		made.values[index] = float64(value(second))
	}
	return made
}

// linesByKind makes a line of each kind, the most frequent first.
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
	shown := kinds[:min(mostKinds, len(kinds))]
	var lines []line
	for _, kind := range shown {
		lines = append(lines, lineOf(kind, seconds, func(one logstory.Second) int { return counts(one)[kind] }))
	}
	if len(kinds) > len(shown) {
		lines = append(lines, lineOf(restKind, seconds, func(one logstory.Second) int {
			sum := 0
			for kind, count := range counts(one) {
				if !slices.Contains(shown, kind) {
					sum += count
				}
			}
			return sum
		}))
	}
	return lines
}

func loadsUnderWay(seconds []logstory.Second) []line {
	lines := linesByKind(seconds, func(one logstory.Second) map[string]int { return one.LoadsStarted })
	for _, one := range lines {
		underWay := 0.0
		for index, second := range seconds {
			begun := one.values[index]
			one.values[index] = underWay + begun
			underWay += begun - float64(second.LoadsCompleted[one.name])
		}
	}
	return lines
}

// draw makes the picture of a plot.
func (p *plot) draw() error {
	if len(p.lines) == 0 {
		p.Picture = "<p>None.</p>"
		return nil
	}
	graph := chart.Chart{Width: plotWidth, Height: plotHeight, Background: chart.Style{Padding: chart.Box{Top: legendHeight, Right: legendHeight}}, XAxis: chart.XAxis{Name: "seconds", ValueFormatter: chart.IntValueFormatter},
		YAxis: chart.YAxis{ValueFormatter: chart.IntValueFormatter, Range: &chart.ContinuousRange{Min: 0, Max: p.highest()}}}
	for _, one := range p.lines {
		at := make([]float64, 0, len(one.values)+1)
		for index := range one.values {
			at = append(at, float64(index))
		}
		values := one.values
		if len(values) == 1 { // a line needs two points
			at, values = append(at, 1), append(values, values[0])
		}
		graph.Series = append(graph.Series, chart.ContinuousSeries{Name: template.HTMLEscapeString(one.name), XValues: at, YValues: values, Style: chart.Style{StrokeWidth: lineWidth}})
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	var picture bytes.Buffer
	if err := graph.Render(chart.SVG, &picture); err != nil {
		return errors.Wrapf(err, "draw %q", p.Title)
	}
	p.Picture = template.HTML(picture.String())
	return nil
}

// highest is the upper end of the plot's scale.
func (p *plot) highest() float64 {
	highest := 1.0
	for _, one := range p.lines {
		highest = max(highest, slices.Max(one.values))
	}
	return highest
}

var pageTemplate = template.Must(template.New("day").Parse(fmt.Sprintf(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>A day of finchspoke</title>
<style>body{font-family:sans-serif;max-width:%dpx;margin:1em auto}h2{margin-bottom:0}p{margin-top:.2em}</style></head><body>
<h1>A day of finchspoke</h1>
<p>From {{.From}}, {{.Seconds}} s{{if .Filter}}; requests and loads of {{.Filter}} only{{end}}. {{.Lines}} lines were read{{if .Unreadable}}, {{.Unreadable}} of them could not be understood and are left out{{end}}.</p>
{{range .Plots}}<h2>{{.Title}}</h2><p>{{.Meaning}}</p>
{{.Picture}}
{{end}}<h2>Holders of load orders</h2>
{{if .Terms}}<ul>{{range .Terms}}<li>{{.Second}} s: {{.Daemon}}</li>{{end}}</ul>{{else}}<p>No term began.</p>{{end}}
</body></html>
`, plotWidth)))
