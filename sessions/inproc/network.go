// Package inproc runs entries, agents and backend servers in one process. A
// simulated network between them can be cut, delay messages and lose answers.
// It uses no sockets, so that whole sessions run under testing/synctest and,
// but for the order of simultaneous events, give the same result each time.
package inproc

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonrock.example/wire"
)

// latency is the one-way delay of a message.
const latency = time.Millisecond

// errCut is the cause of a PeerError that this network returns.
var errCut = errors.New("inproc: message not delivered")

// Fault is a fault that the network injects into one message.
type Fault int

// The faults of a message. With LoseAnswer and Late the receiver handles the
// message, but the answer is lost; Late also delays the message.
const (
	Deliver Fault = iota
	Unsent
	LoseRequest
	LoseAnswer
	Late
)

// Message identifies a message for the function that is set by Script.
type Message struct {
	From, To, Method string
}

// Network carries messages between the processes of one session.
type Network struct {
	mu      sync.Mutex
	agents  map[string]wire.AgentAPI
	entries map[string]wire.EntryAPI
	clocks  map[string]wire.Clock
	// owner maps an address to the name of the process that serves it.
	owner  map[string]string
	dead   map[string]bool
	frozen map[string]chan struct{}
	cut    map[[2]string]bool
	script func(Message) Fault
	random *rand.Rand
	// chance is the probability of each fault of a message; random draws the
	// faults.
	chance    map[Fault]float64
	lateDelay time.Duration
}

// NewNetwork returns a network without faults.
func NewNetwork(seed uint64) *Network {
	return &Network{
		agents: make(map[string]wire.AgentAPI), entries: make(map[string]wire.EntryAPI), clocks: make(map[string]wire.Clock), owner: make(map[string]string),
		dead: make(map[string]bool), frozen: make(map[string]chan struct{}), cut: make(map[[2]string]bool),
		random: rand.New(rand.NewPCG(seed, seed)), chance: make(map[Fault]float64), lateDelay: 3 * time.Second,
	}
}

// Script sets a function that chooses the fault of each message; where it
// returns Deliver, Chance applies. nil removes the function.
func (n *Network) Script(f func(Message) Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.script = f
}

// Chance sets the probability of each fault, 0 to 1.
func (n *Network) Chance(c map[Fault]float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.chance = c
}

// Cut disconnects two processes from each other, or reconnects them.
func (n *Network) Cut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = on
	n.cut[[2]string{b, a}] = on
}

// Kill makes a process permanently unreachable; its messages are lost.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[name] = true
	if wake := n.frozen[name]; wake != nil {
		close(wake)
		delete(n.frozen, name)
	}
}

// Freeze delays all messages to and from a process until Thaw.
func (n *Network) Freeze(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[name] == nil {
		n.frozen[name] = make(chan struct{})
	}
}

// Thaw resumes a frozen process.
func (n *Network) Thaw(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if wake := n.frozen[name]; wake != nil {
		close(wake)
		delete(n.frozen, name)
	}
}

// ServeAgent makes the named process reachable at address, in place of any
// other.
func (n *Network) ServeAgent(address, name string, a wire.AgentAPI, clock wire.Clock) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agents[address], n.owner[address], n.clocks[name] = a, name, clock
}

// ServeEntry makes the named process reachable at address.
func (n *Network) ServeEntry(address, name string, e wire.EntryAPI, clock wire.Clock) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries[address], n.owner[address], n.clocks[name] = e, name, clock
}

func (n *Network) ownerOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner[address]
}

func (n *Network) chooseFault(m Message, to string) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead[to] || n.dead[m.From] || n.cut[[2]string{m.From, to}] {
		return Unsent
	}
	if n.script != nil {
		if f := n.script(m); f != Deliver {
			return f
		}
	}
	draw := n.random.Float64()
	for _, f := range []Fault{Unsent, LoseRequest, LoseAnswer, Late} {
		if draw < n.chance[f] {
			return f
		}
		draw -= n.chance[f]
	}
	return Deliver
}

// waitThawed waits until none of the processes is frozen.
func (n *Network) waitThawed(names ...string) {
	for _, name := range names {
		for {
			n.mu.Lock()
			wake := n.frozen[name]
			n.mu.Unlock()
			if wake == nil {
				break
			}
			<-wake
		}
	}
}

func (n *Network) alive(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.dead[name]
}

func (n *Network) clock(name string) wire.Clock {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clocks[name]
}

// exchange carries one request and its answer. The request and the reply are
// copied through gob, as on the wire: processes share no memory, and values
// that can't be encoded fail here, too.
func exchange[Q, R any](ctx context.Context, n *Network, m Message, request Q, handle func(Q, *R) error) (R, error) {
	var none R
	failed := func(sent bool, err error) (R, error) {
		return none, &wire.PeerError{Step: m.Method, Peer: m.To, Sent: sent, Err: err}
	}
	n.waitThawed(m.From)
	to := n.ownerOf(m.To)
	fault := n.chooseFault(m, to)
	if fault == Unsent || ctx.Err() != nil {
		return failed(false, errCut)
	}
	copied, err := gobCopy(request)
	if err != nil {
		return failed(true, err)
	}
	done := make(chan answer[R], 1)
	go func() { done <- receive(n, m, to, fault, copied, handle) }()
	select {
	case <-ctx.Done():
		n.waitThawed(m.From)
		return failed(true, ctx.Err())
	case a := <-done:
		n.waitThawed(m.From)
		if a.err != nil {
			return failed(true, a.err)
		}
		n.observe(m.From, to)
		return a.reply, nil
	}
}

type answer[R any] struct {
	reply R
	err   error
}

// receive performs the receiver's side of an exchange.
func receive[Q, R any](n *Network, m Message, to string, fault Fault, request Q, handle func(Q, *R) error) answer[R] {
	var reply R
	time.Sleep(latency)
	switch fault {
	case LoseRequest:
		return answer[R]{err: errCut}
	case Late:
		time.Sleep(n.lateDelay)
	}
	n.waitThawed(to)
	if !n.alive(to) {
		return answer[R]{err: errCut}
	}
	n.observe(to, m.From)
	err := handle(request, &reply)
	n.waitThawed(to)
	time.Sleep(latency)
	if err != nil {
		return answer[R]{err: err}
	}
	if fault == LoseAnswer || fault == Late || !n.alive(to) {
		return answer[R]{err: errCut}
	}
	copied, err := gobCopy(reply)
	return answer[R]{reply: copied, err: err}
}

// observe advances one process's logical clock past another's.
func (n *Network) observe(to, from string) {
	a, b := n.clock(to), n.clock(from)
	if a != nil && b != nil {
		a.Observe(b.Now())
	}
}

func gobCopy[T any](v T) (T, error) {
	var b bytes.Buffer
	var out T
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return out, err
	}
	return out, gob.NewDecoder(&b).Decode(&out)
}
