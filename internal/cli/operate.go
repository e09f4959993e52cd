package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/google/subcommands"

	"mulberrylug.example/mulberrylug/internal/response"
)

// maxOperatorResponse is the maximum size of the response to an operator's request, in bytes.
const maxOperatorResponse = 16 << 20

// operatorTimeout limits a request to an instance's operator address.
const operatorTimeout = 6 * time.Second

// callOperator sends a request to an instance's operator address and returns the
// body of the response.
func callOperator(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	resp, err := response.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxOperatorResponse))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, fmt.Errorf("ask %s: status %d: %s", address, resp.StatusCode, body)
	}
	return body, nil
}

// setOperatorFlag defines the flag for the operator address in f.
func setOperatorFlag(f *flag.FlagSet, address *string) {
	f.StringVar(address, "operator-address", "127.0.0.1:7003", "operator address of an instance, host:port")
}

type statusCmd struct{ address string }

func (*statusCmd) Name() string     { return "status" }
func (*statusCmd) Synopsis() string { return "print the state of an instance" }
func (*statusCmd) Usage() string {
	return "status [-operator-address HOST:PORT]:\n  Print the state of an instance as JSON.\n"
}
func (c *statusCmd) SetFlags(f *flag.FlagSet) { setOperatorFlag(f, &c.address) }

func (c *statusCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments("status", f); err != nil {
		return fail(exitUsage, err)
	}
	body, err := callOperator(ctx, http.MethodGet, c.address, "/v1/status")
	if err != nil {
		return fail(exitFailed, err)
	}
	fmt.Print(string(body))
	return exitOK
}

type explainCmd struct{ address string }

func (*explainCmd) Name() string     { return "explain" }
func (*explainCmd) Synopsis() string { return "print the decisions on a request" }
func (*explainCmd) Usage() string {
	return "explain [-operator-address HOST:PORT] REQUEST-ID:\n  Print the decisions on a request, oldest first. Every instance can respond.\n"
}
func (c *explainCmd) SetFlags(f *flag.FlagSet) { setOperatorFlag(f, &c.address) }

func (c *explainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return fail(exitUsage, errors.New("explain: name one request id"))
	}
	body, err := callOperator(ctx, http.MethodGet, c.address, "/v1/explain/"+url.PathEscape(f.Arg(0)))
	if err != nil {
		return fail(exitFailed, err)
	}
	var lines []string
	if err := json.Unmarshal(body, &lines); err != nil {
		return fail(exitFailed, err)
	}
	if len(lines) == 0 {
		return fail(exitFailed, fmt.Errorf("explain: no decisions are recorded for request %s", f.Arg(0)))
	}
	for _, line := range lines {
		fmt.Println(line)
	}
	return exitOK
}

type drainCmd struct{ address string }

func (*drainCmd) Name() string     { return "drain" }
func (*drainCmd) Synopsis() string { return "shut an instance down without interrupting requests" }
func (*drainCmd) Usage() string {
	return "drain [-operator-address HOST:PORT]:\n  Drain an instance. It stops once none of its requests is running and no caller\n  can still have its address cached.\n"
}
func (c *drainCmd) SetFlags(f *flag.FlagSet) { setOperatorFlag(f, &c.address) }

func (c *drainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments("drain", f); err != nil {
		return fail(exitUsage, err)
	}
	if _, err := callOperator(ctx, http.MethodPost, c.address, "/v1/drain"); err != nil {
		return fail(exitFailed, err)
	}
	fmt.Println("draining")
	return exitOK
}
