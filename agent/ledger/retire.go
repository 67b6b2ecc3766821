package ledger

import "persimmonrock.example/structs"

// Retire stops new calls to every server of the service until the server is
// restarted. Calls in progress finish.
func (l *Ledger) Retire(service structs.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.services[service] {
		s.leaving = true
	}
}
