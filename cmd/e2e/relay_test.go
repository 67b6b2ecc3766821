package e2e

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// link identifies the connections that one process opens to another by the
// names of both processes.
type link struct{ from, to string }

type linkState int

// The states of a link. A cut link resets its connections and refuses new ones.
// A held link leaves its connections open and keeps the sent data until the
// link is up again.
const (
	linkUp linkState = iota
	linkCut
	linkHeld
	linkRequestsHeld
	linkAnswersHeld
)

// network relays connections between the processes of one test and applies the
// states of their links. Processes announce the addresses of relays.
type network struct {
	t       *testing.T
	mu      sync.Mutex
	changed *sync.Cond
	states  map[link]linkState
	pipes   map[*pipe]bool
	pids    map[int]string
}

// pipe is one connection through a relay.
type pipe struct {
	link           link
	client, server net.Conn
	closed         bool
}

func newNetwork(t *testing.T) *network {
	n := &network{t: t, states: make(map[link]linkState), pipes: make(map[*pipe]bool), pids: make(map[int]string)}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// relay is one listener of the network.
type relay struct {
	net.Listener
	from, to string
	mu       sync.Mutex
	target   string
}

// listen opens a relay to the process named to. An empty from means that
// several processes use the relay; the owner of the socket distinguishes them.
func (n *network) listen(from, to string) *relay {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		n.t.Fatal(err)
	}
	r := &relay{Listener: l, from: from, to: to}
	n.t.Cleanup(func() {
		l.Close()
		n.mu.Lock()
		defer n.mu.Unlock()
		for p := range n.pipes {
			n.reset(p)
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.forward(r, c)
		}
	}()
	return r
}

func (r *relay) address() string { return r.Addr().String() }

func (r *relay) setTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// set puts links into a state at once.
func (n *network) set(s linkState, links ...link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		n.states[l] = s
		for p := range n.pipes {
			if p.link == l && s == linkCut {
				n.reset(p)
			}
		}
	}
	n.changed.Broadcast()
}

// heal restores all links.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.states)
	n.changed.Broadcast()
}

// reset closes a connection abruptly; n.mu is held.
func (n *network) reset(p *pipe) {
	for _, c := range []net.Conn{p.client, p.server} {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	p.closed = true
	delete(n.pipes, p)
	n.changed.Broadcast()
}

func (n *network) forward(r *relay, client net.Conn) {
	from := r.from
	if from == "" {
		from = n.owner(client)
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		client.Close()
		return
	}
	p := &pipe{link: link{from, r.to}, client: client, server: server}
	n.mu.Lock()
	n.pipes[p] = true
	if n.states[p.link] == linkCut || from == "" {
		n.reset(p)
	}
	n.mu.Unlock()
	go n.pump(p, client, server, linkRequestsHeld)
	n.pump(p, server, client, linkAnswersHeld)
}

// pump copies one direction of p; while the link is held, the end of a
// connection is held like its data.
func (n *network) pump(p *pipe, from, to net.Conn, held linkState) {
	chunk := make([]byte, 1<<15)
	for {
		k, err := from.Read(chunk)
		if !n.waitWhileHeld(p, held) {
			return
		}
		if k > 0 {
			_, _ = to.Write(chunk[:k])
		}
		if err != nil {
			n.mu.Lock()
			n.reset(p)
			n.mu.Unlock()
			return
		}
	}
}

// waitWhileHeld waits while the direction is held and reports whether the
// connection is still open.
func (n *network) waitWhileHeld(p *pipe, held linkState) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !p.closed && (n.states[p.link] == held || n.states[p.link] == linkHeld) {
		n.changed.Wait()
	}
	return !p.closed
}

// ownerTimeout bounds the search for the process that owns a connection.
const ownerTimeout = 2 * time.Second

// owner returns the name of the process that holds the other end of c. All
// processes use one loopback address, so the system's table of sockets is
// searched. The search is repeated, since a process that was just started may
// be missing from pids for a moment.
func (n *network) owner(c net.Conn) string {
	for end := time.Now().Add(ownerTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		inode := socketInode(c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
		n.mu.Lock()
		pids := maps.Clone(n.pids)
		n.mu.Unlock()
		for pid, name := range pids {
			if inode != "" && holdsSocket(pid, inode) {
				return name
			}
		}
	}
	return ""
}

// socketInode returns the inode of a connection. It does not split the system's
// table into lines: the table has tens of thousands of lines while other tests
// open and close connections.
func socketInode(local, remote int) string {
	table, _ := os.ReadFile("/proc/net/tcp")
	ends := fmt.Appendf(nil, ":%04X 0100007F:%04X ", local, remote)
	at := bytes.Index(table, ends)
	if at < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(table[at+len(ends):], []byte("\n"))
	// State, queues, timer, retransmissions, user and timeout precede the
	// inode.
	if fields := bytes.Fields(line); len(fields) > 6 {
		return string(fields[6])
	}
	return ""
}

func holdsSocket(pid int, inode string) bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, f := range files {
		if to, _ := os.Readlink(f); to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
