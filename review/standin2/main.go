// Command standin2 runs the scripted cases of the second review: it starts the platform's store, the workers and the
// clients as stand-ins and the system's own processes beside them. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// cases are the cases by name.
var cases = map[string]func(f *fleet, out *record, trouble bool) (broken bool, err error){
	"poison": poison,
	"large":  large,
	"upload": upload,
}

// The processes of the system end with the thread that has started them.
func init() { runtime.LockOSThread() }

func main() { os.Exit(run()) }

func run() int {
	recordPath := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	c := cases[flag.Arg(0)]
	if c == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 [-record FILE] CASE")
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	out, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f := newFleet(dir)
	defer f.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		f.stop()
		os.Exit(2)
	}()
	broken, err := c(f, out, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
