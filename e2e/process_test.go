package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout limits the wait for a condition; it is far above the expected time.
const waitTimeout = 40 * time.Second

// bin is the directory of the four compiled programs.
var bin string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	var err error
	if bin, err = os.MkdirTemp("", "springweir-e2e"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(bin)
	build := exec.Command("go", "build", "-o", bin+"/", "./cmd/springweir-entry",
		"./cmd/springweir-controller", "./cmd/springweirctl", "./cmd/springweir-standin")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	defer endAll()
	return m.Run()
}

// process is a program started by a test.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	// ended is closed when the process has exited.
	ended chan struct{}
}

// started lists all processes, so that none outlives the tests.
var started struct {
	sync.Mutex
	all []*process
}

func endAll() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.all {
		p.end()
	}
}

// start runs a program with its output in dir/name.log.
func start(t *testing.T, dir, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, args: args, log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	started.Lock()
	started.all = append(started.all, p)
	started.Unlock()
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	return p
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("%s to %s: %v", s, p.name, err)
	}
}

// end kills the process if it is still running. SIGKILL also ends a stopped process.
func (p *process) end() {
	select {
	case <-p.ended:
		return
	default:
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// awaitExit waits until the process exits and checks that its exit code is zero.
func (p *process) awaitExit(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%s has not exited", p.name)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("%s exited with code %d", p.name, code)
	}
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
