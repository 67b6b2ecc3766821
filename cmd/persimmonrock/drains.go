package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/entry/scheduler"
)

const (
	// metricsTimeout bounds the request to one entry.
	metricsTimeout = 2 * time.Second
	// maxMetrics bounds the entry's answer, in bytes.
	maxMetrics = 4 << 20
)

var drainsCommand = spec{
	summary: "show which data centres are drained and what still runs there", local: true,
	arguments: []string{"METRICS-ADDRESS..."},
	example: `
persimmonrock drains 10.1.0.13:9464 10.2.0.30:9464

The addresses are those of entries' metrics. The entry that schedules tells; name
several, since any of them may schedule.`,
	define: func(*flag.FlagSet) action { return showDrains },
}

// drainMetrics is the part of an entry's metrics that describes drains.
type drainMetrics struct {
	Scheduler struct {
		Agents int                           `json:"agents"`
		Drains []scheduler.DrainedDataCentre `json:"drains"`
	} `json:"scheduler"`
}

func showDrains(ctx context.Context, s *session, addresses []string) error {
	for _, address := range addresses {
		f, err := readMetrics(ctx, address)
		if err != nil {
			fmt.Fprintln(s.stderr, err)
			continue
		}
		if f.Scheduler.Agents > 0 {
			return s.printDrains(f.Scheduler.Drains)
		}
	}
	return eris.New("none of these entries schedules")
}

func (s *session) printDrains(list []scheduler.DrainedDataCentre) error {
	if s.json {
		return s.printJSON(list)
	}
	if len(list) == 0 {
		fmt.Fprintln(s.stdout, "no data centre is drained")
		return nil
	}
	var rows [][]string
	for _, d := range list {
		rows = append(rows, []string{d.DataCentre, strconv.Itoa(d.Workers), strconv.Itoa(d.Lasting), strconv.Itoa(d.Ending)})
	}
	printTable(s.stdout, []string{"DATA CENTRE", "WORKERS", "LASTING RUNS", "OTHER RUNS"}, rows)
	return nil
}

func readMetrics(ctx context.Context, address string) (drainMetrics, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	var f drainMetrics
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/debug/vars", nil)
	if err != nil {
		return f, eris.Wrapf(err, "metrics of %s", address)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return f, eris.Wrapf(err, "metrics of %s", address)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return f, eris.Errorf("metrics of %s: status %d", address, answer.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, maxMetrics)).Decode(&f)
	return f, eris.Wrapf(err, "metrics of %s", address)
}
