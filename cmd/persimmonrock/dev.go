package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"persimmonrock.example/cmd/node"
	"persimmonrock.example/cmd/sample"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/ops/logs"
	"persimmonrock.example/structs"
)

// devStopTimeout bounds the planned stop of the sample deployment.
const devStopTimeout = 20 * time.Second

const (
	// devReadyTimeout bounds the wait for the sample services.
	devReadyTimeout = 15 * time.Second
	// devReadyInterval is the time between two checks of the sample services.
	devReadyInterval = 20 * time.Millisecond
	// devCallTimeout bounds one sample call, which takes milliseconds.
	devCallTimeout = 500 * time.Millisecond
)

// runDev runs a whole deployment in this process until Ctrl-C.
func runDev(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("dev", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintln(stderr, "Run two entries, three agents, sample services and an in-memory platform\nin one process. Example:\n\n    persimmonrock dev\n\nFlags:")
		flags.PrintDefaults()
	}
	level := flags.String("log", "warn", `least level of log lines: "debug", "info", "warn" or "error"`)
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := node.StartSample(logs.New(stderr, "dev", *level))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	key, err := sampleContract(ctx, s)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	call := func(ctx context.Context) (int, error) { return callSample(ctx, s, key) }
	if err := waitUntilAnswered(ctx, s.Serving, call); err != nil && ctx.Err() == nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	printWelcome(stdout, s, key)
	<-ctx.Done()
	fmt.Fprintln(stdout, "stopping: calls in progress finish, batch tasks are checkpointed")
	bounded, cancel := context.WithTimeout(context.Background(), devStopTimeout)
	defer cancel()
	if err := s.Stop(bounded); err != nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	fmt.Fprintln(stdout, "stopped")
	return exitOK
}

// sampleContract writes a contract through the operators' interface and
// returns the customer's key.
func sampleContract(ctx context.Context, s *node.Sample) (string, error) {
	key := keys.Generate()
	body, err := json.Marshal(structs.Contract{
		Customer: "granite-notch", LatencyTarget: structs.Duration(250 * time.Millisecond),
		BatchQueue: 1000, Share: 0.5, KeyHashes: []string{keys.Hash(key)},
	})
	if err != nil {
		return "", err
	}
	url := "http://" + s.Entries[0].HTTPAddress() + "/v1/admin/contracts/granite-notch"
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+s.OperatorKey)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)
		return "", fmt.Errorf("apply the sample contract: %s: %s", answer.Status, text)
	}
	return key, nil
}

// waitUntilAnswered returns when every instance admits calls and the urgent
// call that printWelcome shows has been answered.
//
// A starting agent admits no calls for a while, since calls that an earlier
// agent admitted may still run. A user who copies the printed call too early
// gets not-ready and concludes that the product is broken. Instances become
// ready one after the other, and the next call may go to another instance, so
// one answer is not enough. An unanswered call is cancelled and repeated, since
// the next one may be answered at once.
func waitUntilAnswered(ctx context.Context, serving func() bool, call func(context.Context) (int, error)) error {
	bounded, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	var last error
	for {
		if serving() {
			callCtx, stop := context.WithTimeout(bounded, devCallTimeout)
			status, err := call(callCtx)
			stop()
			if err == nil && status == http.StatusOK {
				return nil
			}
			last = errors.Join(err, fmt.Errorf("status %d", status))
		}
		select {
		case <-bounded.Done():
			return fmt.Errorf("the sample services don't answer within %v: %w", devReadyTimeout, errors.Join(last, bounded.Err()))
		case <-time.After(devReadyInterval):
		}
	}
}

// callSample makes the urgent call that printWelcome shows.
func callSample(ctx context.Context, s *node.Sample, key string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, urgentURL(s), strings.NewReader(urgentBody))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

const urgentBody = `{"sample":"GN-17"}`

func urgentURL(s *node.Sample) string {
	return fmt.Sprintf("http://%s/v1/services/%s/call", s.Entries[0].HTTPAddress(), sample.AssayCheck)
}

func printWelcome(w io.Writer, s *node.Sample, key string) {
	entry := "http://" + s.Entries[0].HTTPAddress()
	fmt.Fprintf(w, `persimmonrock runs: %d entries, %d agents, services %s, %s and %s, batch kind %s.

An urgent call:
  curl -s -H 'Authorization: Bearer %s' -d '%s' %s

A batch job:
  curl -s -H 'Authorization: Bearer %s' -d '{"kind":"grade-report","payload":{"samples":50}}' %s/v1/jobs

For the operators' commands:
  export PERSIMMONROCK_SERVER=%s PERSIMMONROCK_KEY=%s

Ctrl-C stops it.
`, len(s.Entries), len(s.Agents), sample.AssayCheck, sample.ReceiptCheck, sample.SubmitClaim, sample.GradeReport,
		key, urgentBody, urgentURL(s), key, entry, entry, s.OperatorKey)
}
