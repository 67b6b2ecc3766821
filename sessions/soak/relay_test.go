package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// relayState determines how a relay forwards the data of its connections.
type relayState int

const (
	healthy relayState = iota
	// delayed forwards all data after forwardDelay.
	delayed
	// dropOutbound drops data sent by the process, dropInbound data sent to the
	// process, dropAll both; connections stay open.
	dropOutbound
	dropInbound
	dropAll
)

// forwardDelay is the delay of each block of data in the state delayed.
const forwardDelay = 300 * time.Millisecond

// relay forwards the connections of one process to one address.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	state    relayState
	conns    map[net.Conn]bool
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { l.Close(); r.reset() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.proxy(c)
		}
	}()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) setState(s relayState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
}

func (r *relay) currentState() relayState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	clear(r.conns)
}

func (r *relay) proxy(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	r.mu.Lock()
	r.conns[client], r.conns[server] = true, true
	r.mu.Unlock()
	go r.forward(server, client, dropOutbound)
	r.forward(client, server, dropInbound)
}

// forward copies data in one direction, or drops it while the relay's state is
// dropping (a parameter) or dropAll. A connection that has dropped data is
// closed only when the state changes, as a real connection fails only after the
// network recovers.
func (r *relay) forward(to, from net.Conn, dropping relayState) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		switch s := r.currentState(); {
		case n > 0 && (s == dropping || s == dropAll):
			for r.currentState() == s {
				time.Sleep(20 * time.Millisecond)
			}
			return
		case s == delayed:
			time.Sleep(forwardDelay)
		}
		if _, werr := to.Write(buffer[:n]); werr != nil || err != nil {
			return
		}
	}
}
