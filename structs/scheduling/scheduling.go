// Package scheduling declares the scheduling policies that an operator can
// switch on. Without a policy the scheduler behaves as if it did not exist.
package scheduling

// Policies holds all policies of a deployment. The zero value switches all off.
type Policies struct {
	// Forecast predicts when each accepted job ends.
	Forecast Forecast `json:"forecast"`
	// Aging bounds the time for which an accepted job gets nothing.
	Aging Aging `json:"aging"`
	// Rebalancing moves runs that hold up their step.
	Rebalancing Rebalancing `json:"rebalancing"`
	// PacedPlacement places filling tasks beside serving tasks on which they
	// press, at the pace that these bear.
	PacedPlacement PacedPlacement `json:"paced_placement"`
	// Layout chooses which serving images share workers.
	Layout Layout `json:"layout"`
	// Admission refuses jobs that can't end while they are still of use.
	Admission Admission `json:"admission"`
	// Diagnosis logs and counts why waiting tasks are passed over.
	Diagnosis Diagnosis `json:"diagnosis"`
	// Recovery returns lasting tasks to their machines after the loss of most
	// workers at once.
	Recovery Recovery `json:"recovery"`
}

// Forecast configures the prediction of the ends of jobs.
type Forecast struct {
	Enabled bool `json:"enabled"`
}

// Aging configures the bound on the wait of accepted jobs.
type Aging struct {
	Enabled bool `json:"enabled"`
}

// Rebalancing configures the moves of runs that hold up their step.
type Rebalancing struct {
	Enabled bool `json:"enabled"`
}

// PacedPlacement configures the placement of filling tasks at a reduced pace.
type PacedPlacement struct {
	Enabled bool `json:"enabled"`
}

// Layout configures the choice of the serving images that share workers.
type Layout struct {
	Enabled bool `json:"enabled"`
}

// Admission configures the refusal of jobs at their submission.
type Admission struct {
	Enabled bool `json:"enabled"`
}

// Diagnosis configures the log lines about waiting tasks and about the layout
// of serving images.
type Diagnosis struct {
	Enabled bool `json:"enabled"`
}

// Recovery configures the return of lasting tasks after a loss of most workers.
type Recovery struct {
	Enabled bool `json:"enabled"`
}
