package ledger

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"persimmonrock.example/backend"
	"persimmonrock.example/structs"
)

// server is one name under which successive processes of a backend server
// announce themselves.
type server struct {
	name        string
	announced   backend.Announcement
	incarnation uint64
	sequence    uint64
	// agent is this agent's incarnation towards the server.
	agent structs.Incarnation
	// ready: the server has fenced every earlier agent, and the calls that ran
	// at that moment are in the ledger.
	ready bool
	// everReady says that ready has been set at least once.
	everReady bool
	leaving   bool
	// reserved is the memory reserved for the server.
	reserved    int64
	answers     uint64
	inUse       int
	lastContact time.Time
	// median is a running estimate of the median duration of a call, lastEnded
	// the time of the last call that changed it.
	median    time.Duration
	lastEnded time.Time
	window    window
}

func (s *server) free() int { return min(s.announced.Slots, s.announced.Connections) - s.inUse }

// state returns Admitted if the server may get a call, otherwise the reason.
func (s *server) state(now time.Time, timeout time.Duration) Reason {
	switch {
	case s.leaving:
		return Leaving
	case !s.ready || now.Sub(s.lastContact) > timeout:
		return NotReady
	}
	return Admitted
}

// medianHalfLife is the time without calls in which the estimate of a call's
// duration halves.
const medianHalfLife = 5 * time.Second

// expected returns the estimated duration of a call that starts now.
//
// Guards against a server that gets no calls although it is fast again. It
// comes about when the server was slow: entries refuse all calls whose deadline
// is below the estimate, and without calls the estimate stays high. So the
// estimate shrinks without calls until a call is tried; while calls run it
// stays.
func (s *server) expected(now time.Time) time.Duration {
	if s.inUse > 0 {
		return s.median
	}
	return decayed(s.median, now.Sub(s.lastEnded))
}

func decayed(d, idle time.Duration) time.Duration { return d >> min(max(idle, 0)/medianHalfLife, 62) }

// observe moves the estimate of the median by a tenth towards took.
func (s *server) observe(took time.Duration, now time.Time) {
	s.window.recordDuration(took)
	s.median = decayed(s.median, now.Add(-took).Sub(s.lastEnded))
	s.lastEnded = now
	switch {
	case s.median == 0:
		s.median = took
	case took > s.median:
		s.median += s.median/10 + 1
	case took < s.median:
		s.median -= s.median / 10
	}
}

// StaleError is returned for an announcement not newer than the last known one.
type StaleError struct {
	// Incarnation is the highest one announced under the server's name.
	Incarnation uint64
}

// Error implements error.
func (e *StaleError) Error() string { return "a later announcement has been heard" }

// Check returns an error for the first rule that the announcement breaks.
func Check(a backend.Announcement) error {
	switch {
	case a.Service == "":
		return eris.New("service: want a name")
	case a.Address == "":
		return eris.New("address: want a base URL")
	case a.Slots < 1:
		return eris.New("slots: want at least 1")
	case a.Connections < 1:
		return eris.New("connections: want at least 1")
	case a.MemoryBytes < 0:
		return eris.New("memory_bytes: want 0 or more")
	case a.Incarnation == 0:
		return eris.New("incarnation: want 1 or more")
	case a.Sequence == 0:
		return eris.New("sequence: want 1 or more")
	}
	return nil
}

// Announce processes one announcement and returns the answer.
//
// Guards against more requests at the server than it has slots. It comes about
// when a list of active requests is made before a request arrives, and read
// after the request's exchange broke: the request is not in the list, the slot
// is freed, and then the server reads the request from its socket and runs it.
// Therefore a broken request is first declared void in an answer. Its slot is
// freed only by a list that the server made after it had carried out that
// answer; from then on the server refuses the request.
func (l *Ledger) Announce(name string, a backend.Announcement, now time.Time) (backend.Answer, error) {
	if err := Check(a); err != nil {
		return backend.Answer{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(name)
	if a.Incarnation < s.incarnation || (a.Incarnation == s.incarnation && a.Sequence <= s.sequence) {
		l.counters.StaleAnnouncements++
		return backend.Answer{}, &StaleError{Incarnation: s.incarnation}
	}
	l.counters.Announcement++
	if a.Incarnation > s.incarnation {
		l.recordRestart(s, a.Incarnation, now)
	}
	s.sequence, s.lastContact = a.Sequence, now
	s.leaving = s.leaving || a.Leaving
	l.recordAnnouncement(s, a)
	l.reserveAwaited(s, a, now)
	if s.agent == 0 || a.AgentIncarnation > s.agent || l.incarnationCollides(s, a) {
		l.incarnation = max(l.incarnation, a.AgentIncarnation+1)
		s.agent, s.ready = l.incarnation, false
	}
	if a.AgentIncarnation == s.agent {
		l.reconcile(s, a, now)
	} else {
		s.ready = false
	}
	return l.answer(s, now), nil
}

func (l *Ledger) server(name string) *server {
	s := l.servers[name]
	if s == nil {
		s = &server{name: name}
		l.servers[name] = s
	}
	return s
}

// recordAnnouncement stores a, and updates the services and the memory in use.
func (l *Ledger) recordAnnouncement(s *server, a backend.Announcement) {
	if old := s.announced.Service; old != a.Service {
		l.services[old] = slices.DeleteFunc(l.services[old], func(o *server) bool { return o == s })
		if len(l.services[old]) == 0 {
			delete(l.services, old)
		}
		l.services[a.Service] = append(l.services[a.Service], s)
	}
	l.used.MemoryBytes += a.MemoryBytes - s.reserved
	s.reserved = a.MemoryBytes
	a.Active = nil
	s.announced = a
}

// incarnationCollides reports whether the server has accepted another agent
// under the incarnation that this agent chose.
//
// Guards against more requests at the server than slots. It comes about when a
// new agent first receives a late announcement from before its predecessor's
// time, and chooses the predecessor's incarnation. A second late announcement,
// from the predecessor's time, then looks as if the server had accepted the new
// agent. Its list of active requests lacks calls that run now. The session,
// unique to an agent's process, shows the difference.
func (l *Ledger) incarnationCollides(s *server, a backend.Announcement) bool {
	return a.AgentIncarnation == s.agent && a.AgentSession != l.session
}

// recordRestart records a new process under the server's name and frees the
// slots of the old process's calls. Calls whose exchange still runs keep their
// slots.
func (l *Ledger) recordRestart(s *server, incarnation uint64, now time.Time) {
	for _, c := range l.calls {
		if c.server == s && c.phase != exchanging {
			l.counters.FreedByRestart++
			l.releaseSlot(c, "restart", now)
		}
	}
	s.incarnation, s.sequence = incarnation, 0
	s.ready, s.leaving = false, false
}

// reconcile compares the calls with the list of active requests of a server
// that has fenced every other agent. The first such list holds all calls that
// ran at the time of the fencing. Calls of that list that are not in the ledger
// are inherited before anything is admitted. In later lists an unknown ID is a
// call that was answered after the list was made.
func (l *Ledger) reconcile(s *server, a backend.Announcement, now time.Time) {
	l.releaseAwaited(s.name, now)
	s.everReady = true
	active := make(map[structs.RequestID]bool, len(a.Active))
	for _, id := range a.Active {
		active[id] = true
		if _, known := l.calls[id]; !known && !s.ready {
			l.counters.Inherited++
			l.acquireSlot(&call{id: id, server: s, incarnation: s.incarnation, phase: inherited, started: now}, now)
		}
	}
	s.ready = true
	for _, c := range l.calls {
		if c.server != s || active[c.id] {
			continue
		}
		stopped := c.phase == inherited || (c.phase == orphaned && c.voided > 0 && a.Answered >= c.voided)
		if stopped {
			l.counters.FreedByList++
			l.releaseSlot(c, "not in list", now)
		}
	}
}

// answer returns an answer that declares the server's orphaned calls void. Every
// answer repeats each call until its slot is free, since an answer can be lost.
func (l *Ledger) answer(s *server, now time.Time) backend.Answer {
	s.answers++
	out := backend.Answer{
		AgentIncarnation: s.agent, AgentSession: l.session, Number: s.answers,
		Ready: s.ready && !s.leaving && !l.draining, Peers: l.peers(s, now),
	}
	for _, c := range l.calls {
		if c.server != s || c.phase != orphaned {
			continue
		}
		if c.voided == 0 {
			c.voided = s.answers
		}
		out.Void = append(out.Void, c.id)
	}
	return out
}

// Leave stops new calls to the server at once and returns its state, or false
// if the name is not known.
func (l *Ledger) Leave(name string) (backend.Status, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[name]
	if s == nil {
		return backend.Status{}, false
	}
	s.leaving = true
	return s.status(), true
}

// Status returns the server's state, or false if the name is not known.
func (l *Ledger) Status(name string) (backend.Status, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[name]
	if s == nil {
		return backend.Status{}, false
	}
	return s.status(), true
}

func (s *server) status() backend.Status {
	return backend.Status{Leaving: s.leaving, InUse: s.inUse, Safe: s.leaving && s.inUse == 0}
}

// Offer counts the instance's ready and leaving servers and the slots of the
// ready ones; entries are notified of each change.
type Offer struct {
	Ready, Leaving, Slots int
}

// Offers returns the current Offer.
func (l *Ledger) Offers() Offer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var o Offer
	for _, s := range l.servers {
		switch {
		case s.leaving:
			o.Leaving++
		case s.ready:
			o.Ready++
			o.Slots += s.announced.Slots
		}
	}
	return o
}

// Expire removes idle servers whose last announcement is older than Retention.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.servers {
		if s.inUse == 0 && now.Sub(s.lastContact) > l.config.Retention {
			l.recordAnnouncement(s, backend.Announcement{})
			delete(l.services, "")
			delete(l.servers, name)
		}
	}
	l.expireAwaited(now)
	l.refresh(now)
}
