// Command scene plays one case of the review: it starts stand-ins of the platform's store, of runners and of
// requesters in its own process, and gateways as separate processes with the command of the deploy file.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/springweir/springweir/platform/standin"
)

// site is a small deployment on loopback.
type site struct {
	store *standin.Store
	dir   string
	start time.Time

	mu       sync.Mutex
	record   io.WriteCloser
	gateways []*process
	runners  []*standin.Endpoint
}

// newSite starts the store. The record goes to path.
func newSite(path string) (*site, error) {
	dir, err := os.MkdirTemp("", "scene")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &site{store: store, dir: dir, start: time.Now(), record: record}, nil
}

// close ends all processes of the site.
func (s *site) close() {
	for _, g := range s.gateways {
		g.kill()
	}
	for _, r := range s.runners {
		r.Close()
	}
	s.store.Close()
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir)
}

// note writes a line with the time since the start to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is a gateway process.
type process struct {
	site     *site
	name     string
	settings string
	// callers and ready are the addresses of the machine.
	callers, ready string

	cmd    *exec.Cmd
	exited chan struct{}
}

// freePorts returns n ports of an address that nobody listens on. The lowest one is free for TCP and UDP.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for len(ports) < n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		defer u.Close()
		ports = append(ports, port)
	}
	return ports, nil
}

// newGateway prepares the settings of a machine with an address of its own, since the port of the metrics is fixed.
func (s *site) newGateway() (*process, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%200, 10+len(s.gateways))
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	g := &process{site: s, name: fmt.Sprintf("front-hal-noord-%d", len(s.gateways)+1)}
	g.callers, g.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	g.settings = filepath.Join(s.dir, g.name+".toml")
	text := strings.NewReplacer("NAME", g.name, "IP", ip, "FIRST", strconv.Itoa(ports[2]), "LAST", strconv.Itoa(ports[2]+1),
		"FRONT", g.callers, "READY", g.ready, "STORE", s.store.Addr()).Replace(settingsForm)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.gateways = append(s.gateways, g)
	return g, nil
}

// run starts the process with the command of the deploy file, in the root of the repository.
func (g *process) run() error {
	log, err := os.OpenFile(filepath.Join(g.site.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/springweir-gateway", "--config", "deploy/gateway.ini")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.site.dir, wire.Settings + "=" + g.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.cmd, g.exited = cmd, make(chan struct{})
	exited := g.exited
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		g.site.note("process of %s ended: %v", g.name, ended(cmd, err))
		close(exited)
	}()
	return nil
}

// ended says how a process ended.
func ended(cmd *exec.Cmd, err error) string {
	if err == nil {
		return "exit 0"
	}
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return "by signal " + status.Signal().String()
	}
	return err.Error()
}

func (g *process) signal(s syscall.Signal) {
	g.site.note("%s gets %v", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

// kill ends the process, if it runs.
func (g *process) kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	_ = g.cmd.Process.Kill()
	<-g.exited
}

// isReady asks the machine whether it is ready, as the platform does.
func (g *process) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (s *site) awaitReady() error {
	for _, g := range s.gateways {
		for n := 0; !g.isReady(); n++ {
			if n == 200 {
				return fmt.Errorf("%s is not ready after 10 s", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Services of the configuration, and the host of its routes.
const (
	llm  = "taalwerk"
	app  = "boekhuis"
	host = "ficu95.example"
)

// putConfig writes the configuration.
func (s *site) putConfig() { s.store.Put("op", "config", configuration) }

// startRunner starts a runner of the project's stand-ins.
func (s *site) startRunner(o standin.EndpointOptions) (*standin.Endpoint, error) {
	r, err := standin.NewEndpoint(s.store, o)
	if err == nil {
		s.runners = append(s.runners, r)
	}
	return r, err
}
