package pipenet

import (
	"context"
	"net"
	"sync"

	"github.com/springweir/springweir/internal/network"
)

// Network is an in-memory network of listeners, indexed by address. It is safe for
// concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: map[string]*Listener{}} }

// Network returns n as a network.Network.
func (n *Network) Network() network.Network { return network.Network{Listen: n.Listen, Dial: n.Dial} }

// Listen opens a listener at address and replaces any earlier one.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := Listen()
	n.listeners[address] = l
	return l, nil
}

// Dial connects to address. It fails with net.ErrClosed if there is no listener.
func (n *Network) Dial(ctx context.Context, kind, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	return l.Dial(ctx, kind, address)
}
