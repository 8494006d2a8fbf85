package main

import (
	"encoding/json"
	"fmt"
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

// site is a small deployment on loopback: a store, endpoints and gateway processes.
type site struct {
	record *record
	dir    string
	store  *standin.Store
	// memoryMB is the memory of a machine.
	memoryMB int

	mu       sync.Mutex
	gateways []*gateway
}

// newSite starts the store.
func newSite(r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	return &site{record: r, dir: dir, store: store, memoryMB: 284}, nil
}

// close ends all processes of the site.
func (s *site) close() {
	s.mu.Lock()
	list := s.gateways
	s.mu.Unlock()
	for _, g := range list {
		g.kill()
	}
	s.store.Close()
	_ = os.RemoveAll(s.dir) // a temporary folder
}

// gateway is a process of the program of the deploy file.
type gateway struct {
	site                   *site
	name, ip, settings     string
	callers, ready, output string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// freePort returns a port of an address on which nothing listens. It is below the kernel's ephemeral range.
func freePort(ip string, from int) (int, error) {
	for port := from; port < from+2000; port++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
		if err == nil {
			_ = l.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port at %s", ip)
}

// newGateway writes the settings of the nth process, which has a loopback address of its own.
func (s *site) newGateway(n int, zone string) (*gateway, error) {
	g := &gateway{site: s, name: fmt.Sprintf("front-%s-%d", zone, n), ip: fmt.Sprintf("127.71.%d.%d", os.Getpid()%200+1, n)}
	var ports [3]int
	from := 20000
	for i := range ports {
		port, err := freePort(g.ip, from)
		if err != nil {
			return nil, err
		}
		ports[i], from = port, port+20
	}
	g.callers, g.ready = fmt.Sprintf("%s:%d", g.ip, ports[0]), fmt.Sprintf("%s:%d", g.ip, ports[1])
	g.settings, g.output = filepath.Join(s.dir, g.name+".toml"), filepath.Join(s.dir, g.name+".log")
	text := strings.NewReplacer(
		"NAME", g.name, "IP", g.ip, "ZONE", zone, "FIRST", strconv.Itoa(ports[2]), "LAST", strconv.Itoa(ports[2]+15),
		"CALLERS", g.callers, "READY", g.ready, "MEMORY", strconv.Itoa(s.memoryMB), "STORE", s.store.Addr(),
	).Replace(settingsForm)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.gateways = append(s.gateways, g)
	s.mu.Unlock()
	return g, nil
}

// start runs the command of the deploy file.
func (g *gateway) start() error {
	cmd := exec.Command("target/springweir-gateway", "--config", "deploy/gateway.ini")
	cmd.Env = append(os.Environ(), wire.Settings+"="+g.settings)
	log, err := os.OpenFile(g.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait() // ended by a signal
		close(exited)
	}()
	g.site.record.add("%s: process started", g.name)
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s) // an error means that it has ended
	}
}

// kill ends the process and waits until it is gone.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// isReady asks as the platform does.
func (g *gateway) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, limit)
}

// startGateways starts n processes in one zone and waits until all are ready.
func (s *site) startGateways(n int) ([]*gateway, error) {
	var list []*gateway
	for i := range n {
		g, err := s.newGateway(i+1, "a")
		if err != nil {
			return nil, err
		}
		if err := g.start(); err != nil {
			return nil, err
		}
		list = append(list, g)
	}
	for _, g := range list {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// config is the operators' configuration.
type config struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
	Tenants  []map[string]any `json:"tenants,omitempty"`
}

// host is the host of all routes.
const host = "h.example"

// route returns a route of the configuration.
func route(prefix, service, kind string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "host": host, wire.PathPrefix: prefix, "kind": kind, "service": service, "priority": 1,
		"timeout-ms": timeoutMS, wire.Objective: 200, "max-attempts": 2,
	}
}

// usualLimits are the limits of the configuration.
func usualLimits() map[string]int {
	return map[string]int{"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
}

// put writes a value as the operator does. The answer of the store is the ack.
func (s *site) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.store.Put(table, key, json.RawMessage(data))
	return nil
}
