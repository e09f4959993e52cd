package proctest

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout limits the start of a process and every other wait for a condition. It is long, so
// that tests do not fail on a busy machine.
const waitTimeout = 40 * time.Second

// binary is the path of the build under test.
var binary string

// maxParallelTests limits the number of tests that run in parallel, because each test starts about
// eight processes.
const maxParallelTests = "6"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", maxParallelTests); err != nil {
		panic(err) // package testing defines the flag, so this can't fail
	}
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proctest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "mulberrylug")
	build := exec.Command("go", "build", "-o", binary, "mulberrylug.example/mulberrylug/cmd/mulberrylug")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a started process. Signals are sent to its process id only.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}

	mu            sync.Mutex
	out           bytes.Buffer
	outputChanged *sync.Cond
	exitErr       error
}

// start starts the build under test. The process is killed when the test ends.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	return startWith(t, binary, name, nil, args...)
}

// startWith starts a build of the command with additional environment variables.
func startWith(t *testing.T, build, name string, environment []string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(build, args...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), environment...)
	p.outputChanged = sync.NewCond(&p.mu)
	r, w := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	read := make(chan struct{})
	go func() {
		p.read(r)
		close(read)
	}()
	go func() {
		err := p.cmd.Wait()
		w.Close()
		<-read // ended means that output is complete
		p.mu.Lock()
		p.exitErr = err
		p.mu.Unlock()
		close(p.ended)
		p.outputChanged.Broadcast()
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, p.output())
		}
	})
	return p
}

func (p *process) read(r io.Reader) {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		p.mu.Lock()
		p.out.WriteString(sc.Text() + "\n")
		p.mu.Unlock()
		p.outputChanged.Broadcast()
	}
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

// value waits until the process has printed key=value and returns the value.
func (p *process) value(t *testing.T, key string) string {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		for _, field := range strings.Fields(p.output()) {
			if v, ok := strings.CutPrefix(field, key+"="); ok {
				return v
			}
		}
		if p.hasEnded() {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s did not print a value for %s=; output:\n%s", p.name, key, p.output())
	return ""
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) signal(s syscall.Signal) error {
	if p.hasEnded() {
		return nil
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s to %s: %w", s, p.name, err)
	}
	return nil
}

// kill sends SIGKILL, which also ends a stopped process, and waits for the exit.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL) // fails only if the process has exited
	<-p.ended
}

// freeze stops the process for a duration, which simulates a paused machine.
func (p *process) freeze(t *testing.T, d time.Duration) {
	t.Helper()
	if err := p.signal(syscall.SIGSTOP); err != nil {
		t.Error(err)
	}
	time.Sleep(d)
	if err := p.signal(syscall.SIGCONT); err != nil {
		t.Error(err)
	}
}

// drain sends SIGTERM and waits for exit code 0.
func (p *process) drain(t *testing.T) {
	t.Helper()
	if err := p.signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	p.waitExit(t)
}

// waitExit waits for exit code 0 of a process that has received SIGTERM.
func (p *process) waitExit(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit within %s of SIGTERM", p.name, waitTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exitErr != nil {
		t.Errorf("%s exited with %v after SIGTERM, want exit code 0", p.name, p.exitErr)
	}
}

// peakMemoryKB returns the peak resident memory of the process in KB.
func (p *process) peakMemoryKB(t *testing.T) (kb int) {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			if _, err := fmt.Sscan(rest, &kb); err != nil {
				t.Fatal(err)
			}
		}
	}
	return kb
}
