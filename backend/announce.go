package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// maxAnswer bounds an answer of the agent in bytes.
const maxAnswer = 4 << 20

var errRefused = errors.New("backend: announcement refused")

// Run announces the server until ctx ends. It repeats a failed announcement
// after Config.Interval, since a new agent may soon start.
func (s *Server) Run(ctx context.Context) error {
	for {
		next, err := s.Announce(ctx)
		if err != nil {
			s.Counters.AnnounceFailed.Add(1)
			next = s.config.Interval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		case <-time.After(next):
		}
	}
}

// Announce sends one announcement and carries out the answer. It returns the
// time until the next announcement is due. This is 0 if the server raised its
// incarnation or the agent is new: a new agent admits no request until it has
// the list of active requests.
func (s *Server) Announce(ctx context.Context) (time.Duration, error) {
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	answer, problem, err := s.put(ctx, s.announcement())
	if err != nil {
		return 0, err
	}
	if problem != nil {
		if s.Guard.Supersede(problem.Incarnation) {
			return 0, nil
		}
		return 0, eris.Wrapf(errRefused, "agent %s: %s", s.config.Agent, problem.Detail)
	}
	s.Counters.Announced.Add(1)
	return s.next(answer, s.Guard.CarryOut(answer)), nil
}

func (s *Server) announcement() Announcement {
	c := s.config
	return s.Guard.Fill(Announcement{
		Service: c.Service, Address: c.Address, CallPath: c.CallPath, Idempotent: c.Idempotent,
		Slots: c.Slots, Connections: c.Connections, MemoryBytes: c.MemoryBytes,
	})
}

// next returns the time until the announcement after answer a is due.
func (s *Server) next(a Answer, newAgent bool) time.Duration {
	switch {
	case newAgent:
		return 0
	case a.Next > 0:
		return a.Next.Std()
	}
	return s.config.Interval
}

func (s *Server) put(ctx context.Context, a Announcement) (Answer, *Problem, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return Answer{}, nil, err
	}
	status, answer, err := s.exchange(ctx, http.MethodPut, body)
	if err != nil {
		return Answer{}, nil, err
	}
	if status != http.StatusOK {
		p := &Problem{}
		err := json.Unmarshal(answer, p)
		return Answer{}, p, err
	}
	var out Answer
	if err := json.Unmarshal(answer, &out); err != nil {
		return Answer{}, nil, eris.Wrapf(err, "answer of agent %s", s.config.Agent)
	}
	return out, nil, nil
}

func (s *Server) exchange(ctx context.Context, method string, body []byte) (int, []byte, error) {
	target := s.config.Agent + "/v1/backends/" + url.PathEscape(s.config.Name)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := s.config.HTTP.Do(req)
	if err != nil {
		return 0, nil, eris.Wrapf(err, "%s at agent %s", method, s.config.Agent)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, nil, eris.Wrapf(err, "%s at agent %s", method, s.config.Agent)
	}
	return resp.StatusCode, answer, nil
}

// announceLeaving repeats the DELETE request until the agent answers that it is
// safe to stop, or until no request runs here and the agent is unreachable.
func (s *Server) announceLeaving(ctx context.Context) error {
	for {
		_, answer, err := s.exchange(ctx, http.MethodDelete, nil)
		var status Status
		if err == nil && json.Unmarshal(answer, &status) == nil && status.Safe {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && s.Guard.Idle() {
			return nil
		}
		select {
		case s.wake <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.config.Interval / 10):
		}
	}
}
