package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// mood is what a relay does with its connections.
type mood int

const (
	whole mood = iota
	// delayed passes everything on late.
	delayed
	// deaf loses what the process sends, mute what it is sent, silent both;
	// the connections stay open.
	deaf
	mute
	silent
)

// delay is how late a delayed relay passes a piece on.
const delay = 300 * time.Millisecond

// relay carries the connections of one process to one address.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mood     mood
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
			go r.carry(c)
		}
	}()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) set(m mood) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mood = m
}

func (r *relay) now() mood {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mood
}

// reset ends all connections at once.
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

func (r *relay) carry(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	r.mu.Lock()
	r.conns[client], r.conns[server] = true, true
	r.mu.Unlock()
	go r.pass(server, client, deaf)
	r.pass(client, server, mute)
}

// pass copies one direction; lost is the mood in which it loses everything.
// A connection that has lost a piece is of no use any more, and says so only
// when it is whole again, as a real one does.
func (r *relay) pass(to, from net.Conn, lost mood) {
	defer to.Close()
	defer from.Close()
	piece := make([]byte, 32<<10)
	for {
		n, err := from.Read(piece)
		switch m := r.now(); {
		case n > 0 && (m == lost || m == silent):
			for r.now() == m {
				time.Sleep(20 * time.Millisecond)
			}
			return
		case m == delayed:
			time.Sleep(delay)
		}
		if _, werr := to.Write(piece[:n]); werr != nil || err != nil {
			return
		}
	}
}
