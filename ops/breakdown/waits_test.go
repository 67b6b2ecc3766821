package breakdown

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// Two steps wait. The second pauses for a minute, of which no line tells. The
// layout is measured three times.
const waitsLog = `
{"process":"entry-1","job":"j1","occurrence":0,"step":1,"tasks_waiting":4,"main":"pressing","time":10000,"message":"tasks of a step passed over"}
{"process":"entry-1","job":"j1","occurrence":0,"step":1,"tasks_waiting":4,"main":"pressing","tasks_paused":1,"time":11000,"message":"tasks of a step passed over"}
{"process":"entry-1","job":"j1","occurrence":0,"step":1,"tasks_waiting":2,"main":"cpu","workers_open":1,"time":12000,"message":"tasks of a step passed over"}
{"process":"entry-1","job":"j2","occurrence":0,"step":0,"tasks_waiting":1,"main":"cpu","time":12000,"message":"tasks of a step passed over"}
{"process":"entry-1","job":"j2","occurrence":0,"step":0,"tasks_waiting":1,"main":"cpu","time":72000,"message":"tasks of a step passed over"}
{"process":"entry-1","service":"s","demand_cpu":8000,"room_cpu":6000,"runnable_cpu":2000,"best_cpu":4000,"running_cpu":1000,"time":10000,"message":"layout measured"}
{"process":"entry-1","service":"s","demand_cpu":8000,"room_cpu":6000,"runnable_cpu":2000,"best_cpu":4000,"running_cpu":1000,"time":11000,"message":"layout measured"}
{"process":"entry-1","service":"s","demand_cpu":4000,"room_cpu":6000,"runnable_cpu":3000,"best_cpu":4000,"running_cpu":3000,"time":12000,"message":"layout measured"}
`

func TestWaitsAndRoomAreSummedUp(t *testing.T) {
	var l Log
	if err := l.Read(strings.NewReader(waitsLog)); err != nil {
		t.Fatal(err)
	}
	r := l.Report()
	approx := cmpopts.EquateApprox(0, 1e-9)
	if diff := cmp.Diff(map[string]float64{"pressing": 4, "paused": 1, "open": 2, "cpu": maxPassedOverGap / 1000.0}, r.PassedOver, approx); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(Room{Demand: 12, Running: 4, Left: 12, Runnable: 5, Best: 8}, r.Room, approx); diff != "" {
		t.Error(diff)
	}
	var text strings.Builder
	if err := r.Print(&text); err != nil || !strings.Contains(text.String(), "12 asked for, 4 ran, 5 could run where serving tasks lay, 8 at their best") {
		t.Errorf("%v:\n%s", err, text.String())
	}
}

// A log without a diagnosis is printed as before.
func TestNothingIsPrintedWithoutADiagnosis(t *testing.T) {
	var l Log
	if err := l.Read(strings.NewReader(sampleLog)); err != nil {
		t.Fatal(err)
	}
	r := l.Report()
	var text strings.Builder
	if err := r.printWaits(&text); err != nil || text.Len() > 0 {
		t.Errorf("%v: %q", err, text.String())
	}
}
