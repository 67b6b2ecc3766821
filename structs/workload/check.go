package workload

import "fmt"

// Limits on a submitted job. They bound the job's rows and keep the planning time at
// a fraction of a second.
const (
	// MaxPayload is the documented limit of a payload, in bytes.
	MaxPayload = 4000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 200
	// MaxTasks bounds the tasks of one occurrence.
	MaxTasks  = 5000
	maxRepeat = 100000
)

// jobIDLength is the number of hexadecimal digits of an identifier.
const jobIDLength = 16

// ValidJobID reports whether id is 16 hexadecimal digits.
func ValidJobID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	for _, c := range id {
		digit := c >= '0' && c <= '9'
		letter := c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !digit && !letter {
			return false
		}
	}
	return true
}

// Check returns an *InvalidError for the first fault of a job.
func (j *Job) Check() error {
	if !ValidJobID(string(j.ID)) {
		return &InvalidError{fmt.Sprintf("job identifier %.40q is not 16 hexadecimal digits", string(j.ID))}
	}
	if len(j.Payload) > MaxPayload {
		return &InvalidError{fmt.Sprintf("payload of %d bytes, more than %d", len(j.Payload), MaxPayload)}
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &InvalidError{fmt.Sprintf("%d steps, not 1 to %d", len(j.Steps), MaxSteps)}
	}
	if j.Repeat.Count < 0 || j.Repeat.Count > maxRepeat || j.Repeat.Interval < 0 {
		return &InvalidError{fmt.Sprintf("%d repeats every %d ms", j.Repeat.Count, j.Repeat.Interval)}
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return &InvalidError{fmt.Sprintf("%d tasks, more than %d", tasks, MaxTasks)}
	}
	return nil
}

func (s *Step) check(i int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return &InvalidError{fmt.Sprintf("step %d has %d tasks, not 1 to %d", i, s.Count, MaxTasks)}
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 || s.Estimate < 0 || s.Spread < 0 || s.MayMiss < 0 {
		return &InvalidError{fmt.Sprintf("step %d has a negative amount", i)}
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return &InvalidError{fmt.Sprintf("step %d comes after step %d, which is not an earlier one", i, a)}
		}
	}
	return nil
}
