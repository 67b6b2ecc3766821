package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

// output collects the output of a running command.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// maxDevStart is the maximum time from the start of `dev` to its welcome.
const maxDevStart = 3 * time.Second

// awaitOutput waits until o contains want, for at most limit of this process's
// running time, and returns that time. A step of the loop that takes longer
// than a tenth of a second is not counted, since neither the process nor the
// tested code ran meanwhile. On a busy machine such a pause lasts up to 2.8 s.
func awaitOutput(t *testing.T, o *output, want string, limit time.Duration) time.Duration {
	t.Helper()
	const pollDelay, maxStep = 5 * time.Millisecond, 100 * time.Millisecond
	ran, last := time.Duration(0), time.Now()
	for !strings.Contains(o.String(), want) {
		if ran > limit {
			t.Fatalf("nothing printed after this process has run for %v", ran)
		}
		time.Sleep(pollDelay)
		now := time.Now()
		if step := now.Sub(last); step < maxStep {
			ran += step
		}
		last = now
	}
	return ran
}

// urgentLine finds the key and the address in the printed urgent call.
var urgentLine = regexp.MustCompile(`(?s)An urgent call:\s+curl -s -H 'Authorization: (Bearer \S+)' -d '(\S+)' (\S+)`)

// A new user copies the first call that dev prints. If dev prints the call
// before the sample agents serve, the user gets 503 not-ready for the first two
// seconds.
func TestDevPrintsCallThatIsAnswered(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var stdout, stderr output
	ended := make(chan int, 1)
	began := time.Now()
	go func() { ended <- runDev(ctx, nil, &stdout, &stderr) }()
	defer func() {
		cancel()
		if status := <-ended; status != exitOK {
			t.Errorf("status %d: %s", status, stderr.String())
		}
	}()
	ran := awaitOutput(t, &stdout, "Ctrl-C", maxDevStart)
	t.Logf("printed after %v, of which this process ran %v", time.Since(began), ran)
	found := urgentLine.FindStringSubmatch(stdout.String())
	if found == nil {
		t.Fatalf("no urgent call in:\n%s", stdout.String())
	}
	// Calls go to any of three instances. Ten calls reach all three, except in
	// one start in twenty.
	for range 10 {
		makePrintedCall(t, found[1], found[2], found[3])
	}
}

// The first sample call gets no answer. dev must repeat the call after
// devCallTimeout, since the next call is answered at once.
func TestDevRetriesUnansweredCall(t *testing.T) {
	calls := 0
	call := func(ctx context.Context) (int, error) {
		calls++
		if calls == 1 {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		return http.StatusOK, nil
	}
	begun := time.Now()
	if err := waitUntilAnswered(t.Context(), func() bool { return true }, call); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begun); took > maxDevStart {
		t.Errorf("%d calls took %v", calls, took)
	}
}

func makePrintedCall(t *testing.T, authorization, body, url string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", authorization)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	if answer.StatusCode != http.StatusOK {
		t.Errorf("the printed call is answered with %d: %s", answer.StatusCode, text)
	}
}
