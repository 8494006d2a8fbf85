package main

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
)

// runner is a plain runner of this review, for answers that the project's stand-ins don't give.
type runner struct {
	id, address string
	server      *http.Server
	// serve answers a request that is for this runner. It calls ran as soon as it begins to work on it.
	serve func(w http.ResponseWriter, r *http.Request, ran func())

	mu   sync.Mutex
	runs map[string]int
}

// startOwnRunner starts a runner on an address of loopback and registers it as ready.
func (s *site) startOwnRunner(service, zone string, row map[string]any, serve func(w http.ResponseWriter, r *http.Request, ran func())) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{address: l.Addr().String(), serve: serve, runs: map[string]int{}}
	r.id = fmt.Sprintf("i-%08x", 0x7f3a0000+l.Addr().(*net.TCPAddr).Port)
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle)}
	go func() { _ = r.server.Serve(l) }() // ends with the process
	r.register(s, service, zone, row)
	return r, nil
}

// register writes the runner's entry, with further fields.
func (r *runner) register(s *site, service, zone string, fields map[string]any) {
	row := map[string]any{"service": service, "address": r.address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "cold-ms": 0, "seq-num": 0}
	maps.Copy(row, fields)
	s.store.Put("servers", r.id, row)
}

// handle does what PROTOCOL.md says of every runner: another one's request gets 421, and the id is echoed.
func (r *runner) handle(w http.ResponseWriter, req *http.Request) {
	if target := req.Header.Get(wire.Target); target != "" && target != r.id {
		w.Header().Set(wire.Instance, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	r.serve(w, req, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[id]++
	})
}

// ran returns how often a request ran at the runners.
func ran(id string, list []*runner) int {
	n := 0
	for _, r := range list {
		r.mu.Lock()
		n += r.runs[id]
		r.mu.Unlock()
	}
	return n
}
