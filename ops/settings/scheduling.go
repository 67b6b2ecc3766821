package settings

import "persimmonrock.example/structs/scheduling"

// LoadScheduling reads the file with a deployment's scheduling policies. An
// empty path switches all policies off.
func LoadScheduling(path string) (scheduling.Policies, error) {
	var p scheduling.Policies
	if path == "" {
		return p, nil
	}
	err := Load(path, &p, CheckScheduling)
	return p, err
}

// CheckScheduling returns a problem for each policy that lacks another one.
func CheckScheduling(p *scheduling.Policies) []Problem {
	var out []Problem
	if p.Admission.Enabled && !p.Forecast.Enabled {
		out = append(out, Problem{"admission.enabled", "want forecast.enabled too: refusals follow from the forecast"})
	}
	return out
}
