package command

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/logstory"
	"github.com/finchspoke/finchspoke/logstory/daypage"
)

// explainDayCommand makes a page of plots of a day from log lines.
type explainDayCommand struct {
	Output   string `long:"output" default:"day.html" description:"file of the page"`
	Model    string `long:"model" description:"count requests and loads of this model only"`
	Replica  string `long:"replica" description:"count requests and loads of this replica only"`
	Tenant   string `long:"tenant" description:"count requests of this tenant only"`
	Argument struct {
		Files []string `positional-arg-name:"FILE" description:"log lines of one or more daemons; standard input if left out"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainDayCommand) Execute([]string) error {
	day := logstory.NewDay(logstory.Filter{Model: c.Model, Replica: c.Replica, Tenant: c.Tenant})
	if err := c.read(day); err != nil {
		return err
	}
	page, err := os.Create(c.Output)
	if err != nil {
		return errors.Wrap(err, "make the page")
	}
	defer func() { _ = page.Close() }()
	if err := daypage.Write(page, day); err != nil {
		return err
	}
	if err := page.Close(); err != nil {
		return errors.Wrap(err, "write the page")
	}
	_, _ = fmt.Printf("%s: %d lines, %d of them not understood\n", c.Output, day.Lines, day.Malformed)
	return nil
}

func (c *explainDayCommand) read(day *logstory.Day) error {
	if len(c.Argument.Files) == 0 {
		return day.Read(os.Stdin, nil)
	}
	for _, name := range c.Argument.Files {
		if err := readFile(day, name); err != nil {
			return err
		}
	}
	return nil
}

func readFile(day *logstory.Day, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	shown := readingProgress{name: name, size: info.Size(), to: os.Stderr, percent: -1}
	defer shown.end()
	return day.Read(file, shown.show)
}

// readingProgress shows on the terminal how much of a file has been read.
type readingProgress struct {
	name    string
	size    int64
	to      io.Writer
	percent int64 // shown last
}

func (p *readingProgress) show(read int64) {
	const whole = 100
	percent := int64(whole)
	if p.size > 0 {
		percent = whole * read / p.size
	}
	if percent != p.percent {
		p.percent = percent
		_, _ = fmt.Fprintf(p.to, "\r%s: %3d%%", p.name, percent)
	}
}

func (p *readingProgress) end() { _, _ = fmt.Fprintln(p.to) }
