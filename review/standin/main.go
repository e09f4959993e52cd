// The command standin holds the stand-ins of the review's scripts: a store, servers and clients. Each
// subcommand plays one case against processes of the system and exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIR")
		os.Exit(notRun)
	}
	cases := map[string]func(*trial) (int, error){"era": playEra, "hangup": playHangup, "late": playLate}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[2], play))
}

// trial is one play of a case.
type trial struct {
	// trouble is unset if the case is to be played without its disruption.
	trouble bool
	// dir holds the settings and logs of the processes, network the first three numbers of all addresses.
	dir, network string
	record       io.Writer
	// details is the file of the record alone.
	details io.Writer
	started time.Time
	fleet   []*instance
}

// run plays a case and writes its record to a directory.
func run(dir string, play func(*trial) (int, error)) int {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer file.Close()
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	t := &trial{
		trouble: os.Getenv("TROUBLE") != "0", dir: tmp, network: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250),
		record: io.MultiWriter(file, os.Stdout), details: file, started: time.Now(),
	}
	code, err := play(t)
	for _, i := range t.fleet {
		i.kill()
	}
	if err != nil {
		t.say("could not run: %v", err)
		code = notRun
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tmp) // what stays behind is in the temporary folder
	} else {
		fmt.Println("logs in", tmp)
	}
	t.say("exit %d", code)
	return code
}

// say writes a line of the record.
func (t *trial) say(format string, args ...any) {
	fmt.Fprintf(t.record, "%7.3f s  %s\n", time.Since(t.started).Seconds(), fmt.Sprintf(format, args...))
}

// list writes what was sent, answered and run to the record.
func (t *trial) list(outcomes []outcome, desk []*worker) {
	ran := map[string]arrival{}
	for _, w := range desk {
		for _, a := range w.list() {
			ran[a.id] = a
		}
	}
	fmt.Fprintln(t.details, "id kind sent_to sent answered status server reached_it ran")
	for _, o := range outcomes {
		a, reached := ran[o.id]
		server, at := "-", "-"
		if reached {
			server, at = a.server, t.at(a.at)
		}
		fmt.Fprintln(t.details, o.id, o.kind, o.to, t.at(o.sent), t.at(o.ended), o.status, server, at, a.ran)
	}
}

// at returns a time as the record shows it.
func (t *trial) at(when time.Time) string {
	return fmt.Sprintf("%.3fs", when.Sub(t.started).Seconds())
}
