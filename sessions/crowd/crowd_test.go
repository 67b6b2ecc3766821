//go:build crowd

package crowd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"persimmonrock.example/platform/standin"
	"persimmonrock.example/structs/workload"
)

const (
	// crowdSize is the number of clients of a crowd, above the sockets of a
	// machine.
	crowdSize = 500
	// silentSize is the number of clients that only stay connected, above the
	// descriptors of a machine.
	silentSize = 700
	// manySize is the number of clients whose requests are within the limits, at a
	// machine with descriptors to spare.
	manySize = 1200
	// costlySize is the number of clients whose bodies cost much once decoded.
	costlySize = 60
	// attempts is the number of connections that a client opens one after
	// another if the entry closes them.
	attempts = 3
	// rowBytes is a little less than a row of the store may hold.
	rowBytes = 60 << 10
	// completeShare: one client of so many sends its body to the end.
	completeShare = 10
	// maxSent bounds what a client sends on one connection without end.
	maxSent = 4 << 20
	// pieceBytes and pieceInterval are the pace of bodies that come in pieces.
	pieceBytes    = 4 << 10
	pieceInterval = 15 * time.Millisecond
	// responseTimeout bounds a client's wait for the response to a whole request.
	responseTimeout = 20 * time.Second
)

// request is what one client sends on a connection before it stays silent.
type request struct {
	// text is sent in pieces of pieceBytes with pauses if paced.
	text  string
	paced bool
	// endless is repeated after text until the connection breaks.
	endless string
	// whole says that the request is complete, so that a response follows.
	whole bool
	job   string
}

// crowd plays clients of which each sends next's requests, then stays connected.
type crowd struct {
	entry *entry
	next  func(client int) request

	mu      sync.Mutex
	conns   []net.Conn
	answers map[string]int
	closed  bool
	clients sync.WaitGroup
}

// play starts a crowd and returns once each client has sent what it sends, or
// its connections were closed.
func play(e *entry, size int, next func(client int) request) *crowd {
	c := &crowd{entry: e, next: next, answers: make(map[string]int)}
	var sent sync.WaitGroup
	for client := range size {
		sent.Add(1)
		c.clients.Go(func() { c.run(client, sync.OnceFunc(sent.Done)) })
	}
	done := make(chan struct{})
	go func() { sent.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(patience):
		e.t.Errorf("%s neither reads from nor closes some connections", e.Node)
	}
	return c
}

// run plays one client. sent is called once the client has sent its first
// request or its first connection was closed.
func (c *crowd) run(client int, sent func()) {
	defer sent()
	for range attempts {
		conn, err := c.entry.dial()
		if err != nil || !c.keep(conn) {
			return
		}
		r := c.next(client)
		err = c.send(conn, r)
		sent()
		if err == nil {
			c.await(conn, r)
		}
		_ = conn.Close()
	}
}

// keep notes an open connection for end; it reports false after end.
func (c *crowd) keep(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

func (c *crowd) send(conn net.Conn, r request) error {
	text := r.text
	for r.paced && len(text) > pieceBytes {
		if _, err := io.WriteString(conn, text[:pieceBytes]); err != nil {
			return err
		}
		text = text[pieceBytes:]
		time.Sleep(pieceInterval)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	if r.endless == "" {
		return nil
	}
	block := strings.Repeat(r.endless, 1+16<<10/len(r.endless))
	for n := 0; n < maxSent; n += len(block) {
		if _, err := io.WriteString(conn, block); err != nil {
			return err
		}
	}
	return nil
}

// await reads the response to a whole request, then waits until the connection
// is closed.
func (c *crowd) await(conn net.Conn, r request) {
	in := bufio.NewReader(conn)
	if r.whole {
		_ = conn.SetReadDeadline(time.Now().Add(responseTimeout))
		if resp, err := http.ReadResponse(in, nil); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			c.mu.Lock()
			c.answers[r.job] = resp.StatusCode
			c.mu.Unlock()
		}
		_ = conn.SetReadDeadline(time.Time{})
	}
	_, _ = io.Copy(io.Discard, in) // ends when either side closes the connection
}

// end disconnects the crowd.
func (c *crowd) end() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.clients.Wait()
}

// checkAnswers checks that the jobs which were refused are not known and those
// which were accepted are.
func (c *crowd) checkAnswers() {
	statuses := map[int]int{}
	for job, status := range c.answers {
		statuses[status]++
		err := c.entry.state(job)
		switch {
		case status == http.StatusOK && err != nil:
			c.entry.t.Errorf("job %s was accepted and its state is not known: %v", job, err)
		case (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) && !errors.Is(err, workload.ErrNoJob):
			c.entry.t.Errorf("job %s was refused with %d, and its state is known: %v", job, status, err)
		}
	}
	c.entry.t.Logf("responses by status: %v", statuses)
}

// checkCrowd plays a crowd at one entry and checks the entry beside and after it.
func checkCrowd(t *testing.T, size int, next func(e *entry, client int) request) {
	t.Helper()
	checkCrowdAt(startEntries(t, 1, maxDescriptors)[0], size, next)
}

func checkCrowdAt(e *entry, size int, next func(e *entry, client int) request) {
	e.t.Helper()
	c := play(e, size, func(client int) request { return next(e, client) })
	e.mustServe("beside the crowd")
	e.check()
	c.end()
	e.mustServe("after the crowd")
	e.check()
	c.checkAnswers()
}

// head returns the beginning of a submission, without the line that ends its
// head.
func head(e *entry) string {
	return strings.TrimSuffix(standin.SubmissionHead(e.nextJob(), ""), "\r\n")
}

// smallLines returns header lines of a total of about size bytes.
func smallLines(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "a%x: b\r\n", n)
	}
	return b.String()
}

// Guards against heads that use the process's memory up.
func TestHeadsOverTheLimit(t *testing.T) {
	const size = 1<<20 - 64<<10
	t.Run("one line", func(t *testing.T) {
		checkCrowd(t, crowdSize, func(e *entry, _ int) request {
			return request{text: head(e) + "A: " + strings.Repeat("b", size)}
		})
	})
	lines := smallLines(size)
	t.Run("small lines", func(t *testing.T) {
		checkCrowd(t, crowdSize, func(e *entry, _ int) request { return request{text: head(e) + lines} })
	})
	legal := smallLines(limits.HeaderBytes - 1<<10)
	t.Run("within the limit but for the end", func(t *testing.T) {
		checkCrowd(t, crowdSize, func(e *entry, _ int) request { return request{text: head(e) + legal} })
	})
}

// Guards against heads without end that use the process's memory up.
func TestHeadsWithoutEnd(t *testing.T) {
	t.Run("one line", func(t *testing.T) {
		checkCrowd(t, crowdSize, func(e *entry, _ int) request { return request{text: head(e) + "A: ", endless: "b"} })
	})
	t.Run("small lines", func(t *testing.T) {
		checkCrowd(t, crowdSize, func(e *entry, _ int) request { return request{text: head(e), endless: "a: b\r\n"} })
	})
	t.Run("empty lines before a request", func(t *testing.T) {
		checkCrowd(t, crowdSize, func(*entry, int) request { return request{endless: "\r\n"} })
	})
}

// submission returns a request with a body, which most clients don't end. encode
// returns the header line that tells the body's length, the body and its last
// bytes.
func submission(e *entry, client int, paced bool, encode func(body string) (line, start, end string)) request {
	id := e.nextJob()
	line, start, end := encode(standin.PaddedBody(limits.BodyBytes))
	r := request{text: standin.SubmissionHead(id, line) + start, paced: paced, job: id}
	if client%completeShare == 0 {
		r.text += end
		r.whole = true
	}
	return r
}

// plain encodes a body with its length.
func plain(body string) (line, start, end string) {
	n := len(body) - 1
	return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body[:n], body[n:]
}

// chunked returns an encoding in chunks of size bytes.
func chunked(size int) func(body string) (line, start, end string) {
	return func(body string) (line, start, end string) {
		var b strings.Builder
		for len(body) > 0 {
			n := min(size, len(body))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		return "Transfer-Encoding: chunked\r\n", b.String(), "0\r\n\r\n"
	}
}

// Guards against bodies of legal size which together use the process's memory up.
func TestBodiesThatStopShort(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		checkCrowd(t, crowdSize, func(e *entry, client int) request { return submission(e, client, false, plain) })
	})
	t.Run("in pieces", func(t *testing.T) {
		checkCrowd(t, crowdSize, func(e *entry, client int) request { return submission(e, client, true, plain) })
	})
}

// Guards against chunked bodies which together use the process's memory up.
func TestChunkedBodiesThatStopShort(t *testing.T) {
	for _, c := range []struct {
		name  string
		size  int
		paced bool
	}{{"one chunk", 256 << 10, false}, {"large chunks", pieceBytes, true}, {"chunks of a byte", 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			encode := chunked(c.size)
			checkCrowd(t, crowdSize, func(e *entry, client int) request { return submission(e, client, c.paced, encode) })
		})
	}
}

// Guards against requests each of which is within the limits, and which together
// use the memory up long before the descriptors.
func TestDescriptorsToSpare(t *testing.T) {
	legal := smallLines(limits.HeaderBytes - 1<<10)
	oneChunk, byteChunks := chunked(256<<10), chunked(1)
	for _, c := range []struct {
		name string
		next func(e *entry, client int) request
	}{
		{"heads", func(e *entry, _ int) request { return request{text: head(e) + legal} }},
		{"bodies", func(e *entry, client int) request { return submission(e, client, false, plain) }},
		{"bodies in pieces", func(e *entry, client int) request { return submission(e, client, true, plain) }},
		{"one chunk", func(e *entry, client int) request { return submission(e, client, false, oneChunk) }},
		{"chunks of a byte", func(e *entry, client int) request { return submission(e, client, false, byteChunks) }},
		{"connections", func(e *entry, _ int) request { return request{text: standin.StateCall(e.nextJob()), whole: true} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkCrowdAt(startEntries(t, 1, manyDescriptors)[0], manySize, c.next)
		})
	}
}

// Guards against whole bodies of legal size which use the process's memory up
// once they are decoded.
func TestCostlyBodies(t *testing.T) {
	for _, c := range []struct {
		name string
		body func(size int) string
		size int
	}{
		{"blanks", standin.PaddedBody, crowdSize},
		{"long rows", func(int) string { return standin.LongRowBody(rowBytes) }, crowdSize},
		{"many steps", standin.ManyStepsBody, costlySize},
		{"long lists of earlier steps", standin.LongAfterBody, costlySize},
		{"repeated steps", standin.RepeatedStepsBody, costlySize},
		{"nested lists", standin.NestedBody, costlySize},
	} {
		t.Run(c.name, func(t *testing.T) {
			body := c.body(limits.BodyBytes)
			checkCrowd(t, c.size, func(e *entry, _ int) request {
				id := e.nextJob()
				return request{text: standin.SubmissionHead(id, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body, whole: true, job: id}
			})
		})
	}
}

// Guards against silent connections that use all descriptors up, so that nobody
// else can connect.
func TestConnectionsThatStayOpen(t *testing.T) {
	t.Run("after a response", func(t *testing.T) {
		checkCrowd(t, silentSize, func(e *entry, _ int) request { return request{text: standin.StateCall(e.nextJob()), whole: true} })
	})
	t.Run("without a byte", func(t *testing.T) {
		checkCrowd(t, silentSize, func(*entry, int) request { return request{} })
	})
	t.Run("with responses that nobody reads", func(t *testing.T) {
		checkCrowd(t, silentSize, func(e *entry, _ int) request { return request{endless: standin.StateCall(e.nextJob())} })
	})
}

// Guards against crowds that end one entry after another, as clients go on to the
// next.
func TestCrowdAtSeveralEntries(t *testing.T) {
	entries := startEntries(t, 3, maxDescriptors)
	var crowds []*crowd
	for _, e := range entries {
		crowds = append(crowds, play(e, crowdSize, func(client int) request { return submission(e, client, false, plain) }))
	}
	for _, e := range entries {
		e.mustServe("beside the crowds")
		e.check()
	}
	for _, c := range crowds {
		c.end()
	}
	for i, e := range entries {
		e.mustServe("after the crowds")
		e.check()
		crowds[i].checkAnswers()
	}
}

// Guards against limits that refuse a request within the documented ones.
func TestLargestRequestIsServedInCalm(t *testing.T) {
	e := startEntries(t, 1, maxDescriptors)[0]
	body := standin.PaddedBody(limits.BodyBytes)
	length, _, _ := plain(body)
	filler := strings.Repeat("b", limits.HeaderBytes-len(standin.SubmissionHead(e.nextJob(), length+"A: \r\n")))
	for _, c := range []struct {
		name   string
		lines  string
		encode func(body string) (line, start, end string)
		paced  bool
	}{
		{"whole", "", plain, false},
		{"largest head", "A: " + filler + "\r\n", plain, false},
		{"in pieces", "", plain, true},
		{"one chunk", "", chunked(len(body)), false},
		{"chunks of a byte", "", chunked(1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := e.dial()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			line, start, end := c.encode(body)
			r := request{text: standin.SubmissionHead(e.nextJob(), line+c.lines) + start + end, paced: c.paced}
			if err := (&crowd{}).send(conn, r); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				text, _ := io.ReadAll(resp.Body)
				t.Errorf("response %d %s, want 200", resp.StatusCode, text)
			}
		})
	}
	e.check()
}
