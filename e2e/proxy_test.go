package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// tcpProxy forwards TCP connections to an address and can simulate a partition: open connections
// then forward nothing and new ones are accepted without a response, as over a link that drops
// every packet. The end of the partition closes all tracked connections.
type tcpProxy struct {
	listener net.Listener
	target   string

	// mu guards the fields below.
	mu sync.Mutex
	// healed is nil unless partitioned; it is closed when the partition ends.
	healed chan struct{}
	conns  map[net.Conn]bool
}

// newTCPProxy listens on an address and forwards connections to target.
func newTCPProxy(t *testing.T, address, target string) *tcpProxy {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &tcpProxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go r.accept()
	t.Cleanup(func() {
		_ = l.Close()
		r.setPartitioned(true)
		r.setPartitioned(false)
	})
	return r
}

func (r *tcpProxy) address() string { return r.listener.Addr().String() }

func (r *tcpProxy) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

// forward connects an accepted connection with the target.
func (r *tcpProxy) forward(in net.Conn) {
	defer in.Close()
	if !r.track(in) {
		return
	}
	defer r.untrack(in)
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	var both sync.WaitGroup
	both.Go(func() { r.copy(out, in) })
	both.Go(func() { r.copy(in, out) })
	both.Wait()
}

// track records a connection. During a partition it blocks until the end of the partition, drops
// the connection and returns false.
func (r *tcpProxy) track(c net.Conn) bool {
	r.mu.Lock()
	r.conns[c] = true
	healed := r.healed
	r.mu.Unlock()
	if healed == nil {
		return true
	}
	<-healed
	r.untrack(c)
	return false
}

func (r *tcpProxy) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// copy forwards bytes in one direction until either side closes. Data read during a partition is
// discarded, and the connection is closed when the partition ends.
func (r *tcpProxy) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		healed := r.healed
		r.mu.Unlock()
		if healed != nil {
			<-healed
			_ = to.Close()
			return
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			closeWrite(to, err)
			return
		}
	}
}

// closeWrite half-closes the connection after io.EOF, and closes it after any other error.
func closeWrite(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
		_ = tcp.CloseWrite()
		return
	}
	_ = to.Close()
}

// setPartitioned starts or ends a partition.
func (r *tcpProxy) setPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if partitioned == (r.healed != nil) {
		return
	}
	if partitioned {
		r.healed = make(chan struct{})
		return
	}
	close(r.healed)
	r.healed = nil
	for c := range r.conns {
		_ = c.Close()
	}
}
