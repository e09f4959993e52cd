package proctest

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// send sends a signal to a process.
func send(t *testing.T, p *process, s syscall.Signal) {
	t.Helper()
	if err := p.signal(s); err != nil {
		t.Fatal(err)
	}
}

// waitLogged waits until a process has logged a text.
func waitLogged(t *testing.T, p *process, text string) {
	t.Helper()
	testkit.Eventually(t, waitTimeout, "log: "+text, func() bool { return strings.Contains(p.output(), text) })
}

// While a process drains, its settings file changes, becomes invalid, and it gets SIGHUP and a second SIGTERM.
// A signal that regains its default action would end the process, and cut the bookings that upstreams run.
func TestHostedSignalsDuringDrain(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	const bookings = 6
	for _, k := range f.desk {
		k.Work = 1200 * time.Millisecond
	}
	p, m := f.procs[0], f.machines[0]
	valid, err := os.ReadFile(m.Settings)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan result, bookings)
	for k := range bookings {
		go func() { done <- f.do(m, booking("drained-"+string(rune('a'+k)))) }()
	}
	time.Sleep(200 * time.Millisecond)
	send(t, p, syscall.SIGTERM)
	waitLogged(t, p, "event=draining")
	for _, c := range []struct {
		signal   syscall.Signal
		settings string
		logged   string
	}{
		{syscall.SIGHUP, string(valid) + "later_field: 1\n", "event=reloaded"},
		{syscall.SIGHUP, "node_name: [", "event=reload_failed"},
		{syscall.SIGTERM, string(valid), "event=signal signal=terminated state=draining action=none"},
		{syscall.SIGINT, string(valid), "event=signal signal=interrupt state=draining action=none"},
	} {
		if err := os.WriteFile(m.Settings, []byte(c.settings), 0o600); err != nil {
			t.Fatal(err)
		}
		send(t, p, c.signal)
		waitLogged(t, p, c.logged)
	}
	for range bookings {
		if r := <-done; r.status != http.StatusOK || r.truncated {
			t.Errorf("a booking that ran during the drain: %+v, want a success", r)
		}
	}
	p.waitExit(t)
}

// A process gets SIGHUP before it has read its settings, and before it is ready. The signal must not end it, and
// the settings must be read again, as they may have changed in between. Then it gets SIGINT while it is not
// ready, which drains it.
func TestHostedSignalsBeforeReady(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	p, pipe, settings := f.startWithSlowSettings(t)
	f.Table.Set(hosting.Busy)
	for _, other := range f.procs {
		other.kill()
	}
	send(t, p, syscall.SIGHUP)
	send(t, p, syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	if p.hasEnded() {
		t.Fatalf("SIGHUP ended the process while it started: %v", p.exitErr)
	}
	finish(t, pipe, settings)
	waitLogged(t, p, "action=reload_later")
	again, err := os.OpenFile(pipe.Name(), os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	finish(t, again, settings)
	waitLogged(t, p, "event=reloaded")
	send(t, p, syscall.SIGHUP)
	waitLogged(t, p, "state=serving action=reload")
	send(t, p, syscall.SIGINT)
	waitLogged(t, p, "state=serving action=drain")
	p.waitExit(t)
}

// A process gets SIGTERM before it has read its settings. It must exit with code 0 and not start to serve.
func TestHostedTermWhileStarting(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	p, pipe, settings := f.startWithSlowSettings(t)
	send(t, p, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	finish(t, pipe, settings)
	p.waitExit(t)
	if strings.Contains(p.output(), "event=started") {
		t.Errorf("the process has started to serve after SIGTERM:\n%s", p.output())
	}
}

// startWithSlowSettings starts an instance that waits for its settings, and returns the pipe from which it reads
// them, and the settings.
func (f *fixture) startWithSlowSettings(t *testing.T) (p *process, pipe *os.File, settings []byte) {
	t.Helper()
	m, err := f.MachineIn("slow-start", hosting.DefaultZone)
	if err != nil {
		t.Fatal(err)
	}
	if settings, err = os.ReadFile(m.Settings); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.pipe")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	m.Settings = path
	p = f.startInstance(t, m)
	testkit.Eventually(t, waitTimeout, "the process reads its settings", func() bool {
		pipe, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	return p, pipe, settings
}

// finish writes the settings that a process waits for.
func finish(t *testing.T, pipe *os.File, settings []byte) {
	t.Helper()
	if _, err := pipe.Write(settings); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
}

// startWithLog starts an instance whose log goes to a pipe, and waits until it is ready.
func (f *fixture) startWithLog(t *testing.T, name string) (cmd *exec.Cmd, m hosting.Machine, log *os.File) {
	t.Helper()
	m, err := f.MachineIn(name, hosting.DefaultZone)
	if err != nil {
		t.Fatal(err)
	}
	log, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(f.builds.next(), "serve")
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), "MULBERRYLUG_SETTINGS="+m.Settings), writer, writer
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails only if the process has ended
		_ = cmd.Wait()         // the process was killed
	})
	writer.Close()
	testkit.Eventually(t, waitTimeout, "the instance is ready", func() bool { return f.ready(m) })
	return cmd, m, log
}

// Whatever reads the log of an instance ends. The next write would end the process by SIGPIPE, with its requests
// in progress.
func TestHostedLogReaderEnds(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	_, m, log := f.startWithLog(t, "unread")
	log.Close()
	for k := range 5 {
		if r := f.do(m, booking(fmt.Sprintf("unread-%d", k))); r.status != http.StatusOK {
			t.Fatalf("booking %d after the log is no longer read: %+v, want a success", k, r)
		}
		time.Sleep(100 * time.Millisecond) // the log is written in the background
	}
}

// The log of an instance is a pipe that stays open and is not read any more. A write to it blocks, and an exit that
// waits for it would last until the process is killed.
func TestHostedLogIsNotRead(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	cmd, m, log := f.startWithLog(t, "blocked")
	defer log.Close()
	if _, err := unix.FcntlInt(log.Fd(), unix.F_SETPIPE_SZ, 4096); err != nil {
		t.Fatal(err)
	}
	for k := range 50 {
		if r := f.do(m, booking(fmt.Sprintf("blocked-%d", k))); r.status != http.StatusOK {
			t.Fatalf("booking %d while the log is not read: %+v, want a success", k, r)
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the process ended with %v, want a regular exit", err)
		}
	case <-time.After(grace):
		t.Errorf("the process has not ended within the grace period")
	}
}
