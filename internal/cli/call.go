package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"mulberrylug.example/mulberrylug/client"
)

// callerFlags are the flags of commands that act as a caller.
type callerFlags struct {
	// entries is a comma-separated list of addresses.
	entries string
	key     string
	retries int
}

// setFlags defines the flags in f.
func (c *callerFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.entries, "entries", "127.0.0.1:7001", "caller addresses of some instances, host:port, comma-separated")
	f.StringVar(&c.key, "api-key", os.Getenv("MULBERRYLUG_API_KEY"), "API key; default from MULBERRYLUG_API_KEY")
	f.IntVar(&c.retries, "retries", 2, "maximum number of retries after refusals that name a retry time")
}

func (c *callerFlags) client() *client.Client {
	return client.New(client.Options{Seeds: strings.Split(c.entries, ","), APIKey: c.key, Retries: c.retries})
}

// failRequest prints the error of a request and returns the exit code for its
// outcome.
func failRequest(err error) subcommands.ExitStatus {
	status := exitFailed
	var p *client.Problem
	if errors.As(err, &p) {
		switch p.Outcome {
		case client.NotRun:
			status = exitNotRun
		case client.Partial:
			status = exitPartial
		case client.Unknown:
			status = exitUnknown
		case client.Done:
		}
	}
	return fail(status, err)
}

type askCmd struct {
	callerFlags
	model     string
	maxTokens int
}

func (*askCmd) Name() string     { return "ask" }
func (*askCmd) Synopsis() string { return "send a prompt and stream the response" }
func (*askCmd) Usage() string {
	return `ask -model NAME [-entries HOST:PORT,…] PROMPT:
  Send a prompt and stream the response to standard output. An interrupted
  stream is resumed, if possible at another instance. Exit codes: 0 done,
  4 not run, 5 partial, 6 unknown.

`
}

func (c *askCmd) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.model, "model", "", "name of the model")
	f.IntVar(&c.maxTokens, "max-tokens", 0, "maximum number of output tokens; 0 for the organisation's limit")
}

func (c *askCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || c.model == "" {
		return fail(exitUsage, errors.New("ask: set -model and give a prompt"))
	}
	req := client.Completion{Model: c.model, Prompt: strings.Join(f.Args(), " "), MaxTokens: c.maxTokens}
	res, err := c.client().Stream(ctx, req, func(text string) { fmt.Print(text) })
	fmt.Println()
	if err != nil {
		return failRequest(err)
	}
	fmt.Fprintf(os.Stderr, "request=%s tokens=%d resumes=%d\n", res.RequestID, res.Tokens, res.Resumes)
	return exitOK
}

type bookCmd struct {
	callerFlags
	service, path, idempotencyKey string
	repeatable                    bool
}

func (*bookCmd) Name() string     { return "book" }
func (*bookCmd) Synopsis() string { return "make a call that runs at most once" }
func (*bookCmd) Usage() string {
	return `book -service NAME -path PATH -key KEY [-entries HOST:PORT,…] BODY:
  Call a plain service at most once for an idempotency key. A repeated call with
  the same key prints the recorded response. Exit codes: 0 done, 4 not run,
  6 unknown.

`
}

func (c *bookCmd) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.service, "service", "", "service to call")
	f.StringVar(&c.path, "path", "/", "path at the service")
	f.StringVar(&c.idempotencyKey, "key", "", "idempotency key")
	f.BoolVar(&c.repeatable, "repeatable", false, "the call may be repeated")
}

func (c *bookCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.service == "" || c.idempotencyKey == "" && !c.repeatable {
		return fail(exitUsage, errors.New("book: set -service and -key and give one body"))
	}
	a, err := c.client().Do(ctx, client.Call{
		Service: c.service, Path: c.path, Body: []byte(f.Arg(0)), Key: c.idempotencyKey, NotRepeatable: !c.repeatable,
	})
	if err != nil {
		return failRequest(err)
	}
	fmt.Println(string(a.Body))
	return exitOK
}
