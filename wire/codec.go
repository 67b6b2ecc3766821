package wire

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
)

// Clock is a process's logical clock, which orders its events among those of
// other processes. *events.Ring implements Clock.
type Clock interface {
	// Now returns the logical time of the latest event.
	Now() uint64
	// Observe advances the clock to at least the given time.
	Observe(logical uint64)
}

type noClock struct{}

func (noClock) Now() uint64 { return 0 }

func (noClock) Observe(uint64) {}

// requestHeader and responseHeader are net/rpc's headers plus the sender's
// logical time. So every message between two processes orders their events,
// whatever its content.
type requestHeader struct {
	ServiceMethod string
	Seq           uint64
	Clock         uint64
}

type responseHeader struct {
	ServiceMethod string
	Seq           uint64
	Error         string
	Clock         uint64
}

// codec is the gob stream of one connection. It implements both rpc.ClientCodec
// and rpc.ServerCodec; each connection uses only one of them.
type codec struct {
	conn  io.ReadWriteCloser
	in    *gob.Decoder
	out   *gob.Encoder
	flush func() error
	clock Clock
}

func newCodec(conn io.ReadWriteCloser, clock Clock) *codec {
	buffer := bufio.NewWriter(conn)
	return &codec{
		conn:  conn,
		in:    gob.NewDecoder(bufio.NewReader(conn)),
		out:   gob.NewEncoder(buffer),
		flush: buffer.Flush,
		clock: clock,
	}
}

// WriteRequest implements rpc.ClientCodec.
func (c *codec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(requestHeader{ServiceMethod: r.ServiceMethod, Seq: r.Seq, Clock: c.clock.Now()}, body)
}

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(responseHeader{ServiceMethod: r.ServiceMethod, Seq: r.Seq, Error: r.Error, Clock: c.clock.Now()}, body)
}

// write sends one message. After a failure the state of the stream is unknown,
// so write closes the connection. The other side then does not wait for an
// answer that can't come.
func (c *codec) write(header, body any) error {
	err := c.out.Encode(header)
	if err == nil {
		err = c.out.Encode(body)
	}
	if err == nil {
		err = c.flush()
	}
	if err != nil {
		c.conn.Close()
	}
	return err
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	var h requestHeader
	if err := c.in.Decode(&h); err != nil {
		return err
	}
	c.clock.Observe(h.Clock)
	r.ServiceMethod, r.Seq = h.ServiceMethod, h.Seq
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(r *rpc.Response) error {
	var h responseHeader
	if err := c.in.Decode(&h); err != nil {
		return err
	}
	c.clock.Observe(h.Clock)
	r.ServiceMethod, r.Seq, r.Error = h.ServiceMethod, h.Seq, h.Error
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error { return c.in.Decode(body) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error { return c.in.Decode(body) }

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *codec) Close() error { return c.conn.Close() }
