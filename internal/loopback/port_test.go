package loopback

import (
	"errors"
	"os"
	"testing"
)

// Each port is allocated once, together with its successor: a process may start to listen on its
// port after other ports have been allocated.
func TestFreePortIsUnique(t *testing.T) {
	taken := map[int]bool{}
	for range 200 {
		port, err := FreePort()
		if err != nil {
			t.Fatal(err)
		}
		if taken[port] || taken[port+1] {
			t.Fatalf("port %d was allocated before", port)
		}
		taken[port], taken[port+1] = true, true
		t.Cleanup(func() { ReleasePort(port) })
	}
}

// All ports of the process can be allocated, and a released one again.
func TestFreePortFindsTheLastOne(t *testing.T) {
	var ports []int
	t.Cleanup(func() {
		for _, port := range ports {
			ReleasePort(port)
		}
	})
	for {
		port, err := FreePort()
		var none *NoPortError
		if errors.As(err, &none) {
			break
		}
		ports = append(ports, port)
	}
	free := 0
	const rangeSize = (highestPort - lowestPort) / processRanges
	first := lowestPort + rangeSize*(os.Getpid()%processRanges)
	for port := first; port < first+rangeSize; port += 2 {
		if allocate(port) {
			if checkFree(port, port+1) == nil {
				free++
			}
			ReleasePort(port)
		}
	}
	if free > rangeSize/200 { // other processes may have released a few
		t.Errorf("%d ports were allocated, and %d more are free", len(ports), free)
	}
	released := ports[len(ports)/2]
	ReleasePort(released)
	if port, err := FreePort(); err != nil || port != released {
		t.Errorf("after port %d was released, FreePort returned %d, %v", released, port, err)
	}
}
