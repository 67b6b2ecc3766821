package connlimit

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// bodyCost is the memory in bytes of a body's byte: as received, as decoded, and
	// as encoded for the store and in the call of the store.
	bodyCost = 4
	// firstPiece and largestPiece are sizes in bytes of the pieces in which a body
	// is received.
	firstPiece   = 4 << 10
	largestPiece = 32 << 10
	// largeBody is the size in bytes above which bodies are decoded one at a time.
	largeBody = 16 << 10
	// linger is the time for which a client that is refused may still send its
	// body, so that its connection isn't reset before it has read the response.
	linger = 500 * time.Millisecond
)

// ErrNoMemory says that a body was not read since other requests hold the memory.
var ErrNoMemory = errors.New("the memory for clients' requests is used up")

// RetryAfter is the time after which a client that was refused with ErrNoMemory
// may come back: by then, requests that stall have been displaced.
const RetryAfter = patience

// ErrTimeout says that a body did not arrive in time.
var ErrTimeout = errors.New("the body did not arrive in time")

// ReadBody reads the body of r, of at most limit bytes, within timeout if it is
// above 0, and within the pool's limit. It accounts each piece before it reads it.
// The errors are *http.MaxBytesError, ErrNoMemory, ErrTimeout and those of the
// connection; after an error, the response closes the connection. The body of a
// request outside a pool is read without account.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	c := connOf(r)
	control := http.NewResponseController(w)
	if c != nil {
		if longest := c.pool.clientLimits().Body; timeout <= 0 || timeout > longest {
			timeout = longest
		}
		_ = control.SetReadDeadline(time.Now().Add(timeout)) // the pool's sweep closes the connection at the latest
	}
	pieces, size, err := readPieces(c, w, r, limit)
	if err != nil {
		w.Header().Set("Connection", "close")
		_ = control.SetReadDeadline(time.Now().Add(linger))
		if timedOut(err) {
			err = ErrTimeout
		}
		return nil, eris.Wrap(err, "read the body")
	}
	if c != nil {
		_ = control.SetReadDeadline(time.Time{})
		c.serve()
	}
	return join(pieces, size), nil
}

func timedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readPieces reads a body in pieces of size bytes together.
func readPieces(c *conn, w http.ResponseWriter, r *http.Request, limit int64) (pieces [][]byte, size int, err error) {
	expected := r.ContentLength // -1 if it is not known
	if expected > limit {
		return nil, 0, &http.MaxBytesError{Limit: limit}
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	next := firstPiece
	for {
		n := next
		if rest := expected - int64(size); expected >= 0 && rest < int64(n) {
			// One byte more than is left shows the end of the body.
			n = int(rest) + 1
		}
		if c != nil && !c.pool.take(c, int64(n)*bodyCost) {
			return nil, 0, ErrNoMemory
		}
		piece := make([]byte, n)
		got, err := readFull(body, piece)
		pieces, size = append(pieces, piece[:got]), size+got
		switch {
		case err == io.EOF:
			return pieces, size, nil
		case err != nil:
			return nil, 0, err
		}
		next = min(2*next, largestPiece)
	}
}

// readFull reads until p is full or r ends. Unlike io.ReadFull, it tells the end
// of a body, io.EOF, from a connection that breaks, io.ErrUnexpectedEOF.
func readFull(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var got int
		got, err = r.Read(p[n:])
		n += got
	}
	return n, err
}

func join(pieces [][]byte, size int) []byte {
	if len(pieces) == 1 {
		return pieces[0]
	}
	whole := make([]byte, 0, size)
	for _, p := range pieces {
		whole = append(whole, p...)
	}
	return whole
}

// Decode calls decode on a body of r. Large bodies are decoded one at a time,
// since a decoder may need many times the memory of a body while it works.
func Decode(r *http.Request, body []byte, decode func([]byte) error) error {
	if c := connOf(r); c != nil && len(body) > largeBody {
		c.pool.decoding.Lock()
		defer c.pool.decoding.Unlock()
	}
	return decode(body)
}
