package command

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/logstory"
	"github.com/finchspoke/finchspoke/logstory/daypage"
)

// explainDayCommand writes an HTML page with plots of a day from log lines.
type explainDayCommand struct {
	Output   string `long:"output" default:"day.html" description:"HTML file to write"`
	Model    string `long:"model" description:"include only requests and loads of this model"`
	Replica  string `long:"replica" description:"include only requests and loads of this replica"`
	Tenant   string `long:"tenant" description:"include only requests of this tenant"`
	Argument struct {
		Files []string `positional-arg-name:"FILE" description:"log files of one or more daemons; standard input by default"`
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
		return errors.Wrap(err, "create the page")
	}
	defer func() { _ = page.Close() }()
	if err := daypage.Write(page, day); err != nil {
		return err
	}
	if err := page.Close(); err != nil {
		return errors.Wrap(err, "write the page")
	}
	_, _ = fmt.Printf("%s: %d lines, %d of them not parsed\n", c.Output, day.Lines, day.Malformed)
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
		return errors.Wrap(err, "open log file")
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	progress := readProgress{name: name, size: info.Size(), to: os.Stderr, percent: -1}
	defer progress.end()
	return day.Read(file, progress.show)
}

// readProgress prints the percentage of a file that has been read.
type readProgress struct {
	name    string
	size    int64
	to      io.Writer
	percent int64 // printed last; -1 if none
}

func (p *readProgress) show(read int64) {
	const complete = 100
	percent := int64(complete)
	if p.size > 0 {
		percent = complete * read / p.size
	}
	if percent != p.percent {
		p.percent = percent
		_, _ = fmt.Fprintf(p.to, "\r%s: %3d%%", p.name, percent)
	}
}

func (p *readProgress) end() { _, _ = fmt.Fprintln(p.to) }
