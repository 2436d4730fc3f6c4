package standin

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/hostlog"
	"bulrushshed/service"
)

// ServiceOptions describe one replica of a plain service.
type ServiceOptions struct {
	Name          string
	Address       string
	FailureDomain string
	Incarnation   int64
	// Serves names the services that the replica answers for.
	Serves []string
	// WorkTime is the time of one call.
	WorkTime time.Duration
	// History is a file of what earlier runs of the replica carried out, to
	// which this one appends; "" for none.
	History string
	// HonorsKeys makes a repeat of a key return the first answer.
	HonorsKeys bool
}

// Execution is one call that a service carried out, for the checks.
type Execution struct {
	Key       string    `json:"key"`
	RequestID string    `json:"request_id"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Replica   string    `json:"replica"`
	At        time.Time `json:"at"`
}

// Service answers dispatch, stock and slot calls and counts them by key.
type Service struct {
	opts   ServiceOptions
	faults faults

	mu         sync.Mutex
	draining   bool
	running    int
	executions []Execution
	// refused are the calls that came while the replica drained.
	refused  []Execution
	answered map[string]bool
	history  *os.File
}

// NewService returns a service that has run what its history says.
func NewService(o ServiceOptions) (*Service, error) {
	s := &Service{opts: o, answered: map[string]bool{}}
	if o.History == "" {
		return s, nil
	}
	var err error
	s.history, err = os.OpenFile(o.History, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(s.history)
	for lines.Scan() {
		var e Execution
		// A line that a kill cut short was never answered.
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			s.executions = append(s.executions, e)
			s.answered[e.Key] = true
		}
	}
	return s, lines.Err()
}

// App returns the service's HTTP server.
func (s *Service) App() *fiber.App {
	app := newApp()
	app.Get("/executions", func(c fiber.Ctx) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return c.JSON(s.executions)
	})
	app.Get("/refused", func(c fiber.Ctx) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return c.JSON(s.refused)
	})
	app.Post("/drain", func(c fiber.Ctx) error {
		s.Drain()
		return c.SendStatus(fiber.StatusNoContent)
	})
	s.faults.serve(app)
	app.All("/*", s.serveCall)
	return app
}

// Drain refuses new calls from now on.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Busy reports whether calls are under way.
func (s *Service) Busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running > 0
}

// Host returns the replica's line for the platform's list.
func (s *Service) Host() hostlog.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := hostlog.Host{
		Name: s.opts.Name, Address: s.opts.Address, Role: hostlog.RoleService, Serves: s.opts.Serves,
		FailureDomain: s.opts.FailureDomain, State: hostlog.StateLive, Incarnation: s.opts.Incarnation,
	}
	if s.draining {
		h.State = hostlog.StateLeaving
	}
	return h
}

func (s *Service) serveCall(c fiber.Ctx) error {
	e := Execution{
		Key: c.Get(service.HeaderKey), RequestID: c.Get(service.HeaderRequestID),
		Method: c.Method(), Path: c.Path(), Replica: s.opts.Name, At: time.Now(),
	}
	if !s.begin(e) {
		c.Set(service.HeaderNotRun, service.NotRunLeaving)
		return c.Status(fiber.StatusServiceUnavailable).JSON(fiber.Map{"error": "leaving"})
	}
	defer s.end()
	time.Sleep(s.opts.WorkTime)
	if s.faults.loseAnswer() {
		return drop(c)
	}
	return c.JSON(fiber.Map{"ok": true, "replica": s.opts.Name, "key": e.Key})
}

func (s *Service) begin(e Execution) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		s.refused = append(s.refused, e)
		return false
	}
	s.running++
	if s.opts.HonorsKeys && s.answered[e.Key] {
		return true
	}
	s.answered[e.Key] = true
	s.executions = append(s.executions, e)
	if s.history != nil {
		line, _ := json.Marshal(e)
		_, _ = s.history.Write(append(line, '\n'))
	}
	return true
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
