// Package loopback allocates ports of the loopback interface to tests and their processes, and answers calls of tests on them.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
)

// Allocated ports are below the kernel's ephemeral range: an ephemeral port could be taken by a
// connection before a process listens on it or while the process restarts.
const (
	lowestPort  = 10000
	highestPort = 32000
	// processRanges is the number of ranges into which the ports are divided. Concurrent test
	// processes allocate from different ranges, because a port looks free while the process that
	// uses it restarts.
	processRanges = 10
)

// NoPortError reports that no free loopback port was found. Cause is why the last one could not be used, nil if
// all are allocated.
type NoPortError struct{ Cause error }

// Error implements error.
func (e *NoPortError) Error() string {
	if e.Cause == nil {
		return "no free port of loopback: all are allocated"
	}
	return fmt.Sprintf("no free port of loopback: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoPortError) Unwrap() error { return e.Cause }

// allocated holds the ports that this process has allocated. The port after each is reserved with
// it, as a process may use both.
var allocated struct {
	sync.Mutex
	ports map[int]bool
}

// FreePort returns a loopback port on which, and on whose successor, nothing listens. It returns a port again
// only after ReleasePort, since a user of the port may not listen yet or may restart. The error is
// *NoPortError.
func FreePort() (int, error) {
	const rangeSize = (highestPort - lowestPort) / processRanges
	first := lowestPort + rangeSize*(os.Getpid()%processRanges)
	var last error
	for _, n := range rand.Perm(rangeSize / 2) {
		port := first + 2*n
		if !allocate(port) {
			continue
		}
		if last = checkFree(port, port+1); last == nil {
			return port, nil
		}
		ReleasePort(port)
	}
	return 0, &NoPortError{Cause: last}
}

// ReleasePort makes a port of FreePort available again. Nothing may use the port or connect to it any more.
func ReleasePort(port int) {
	allocated.Lock()
	defer allocated.Unlock()
	delete(allocated.ports, port)
}

// Ports are the ports of one test. The zero value has none.
type Ports struct{ allocated []int }

// Allocate returns n ports of FreePort, which belong to the test until Release.
func (p *Ports) Allocate(n int) ([]int, error) {
	for range n {
		port, err := FreePort()
		if err != nil {
			return nil, err
		}
		p.allocated = append(p.allocated, port)
	}
	return p.allocated[len(p.allocated)-n:], nil
}

// Release releases all ports of the test. None of its processes may run any more, since each sends to the others.
func (p *Ports) Release() {
	for _, port := range p.allocated {
		ReleasePort(port)
	}
	p.allocated = nil
}

// allocate marks a port as allocated and reports whether it was free before.
func allocate(port int) bool {
	allocated.Lock()
	defer allocated.Unlock()
	if allocated.ports[port] {
		return false
	}
	if allocated.ports == nil {
		allocated.ports = map[int]bool{}
	}
	allocated.ports[port] = true
	return true
}

// checkFree returns an error if TCP or UDP cannot listen on one of the ports.
func checkFree(ports ...int) error {
	for _, port := range ports {
		address := fmt.Sprint("127.0.0.1:", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		if err := l.Close(); err != nil {
			return err
		}
		datagrams, err := net.ListenPacket("udp", address)
		if err != nil {
			return err
		}
		if err := datagrams.Close(); err != nil {
			return err
		}
	}
	return nil
}
