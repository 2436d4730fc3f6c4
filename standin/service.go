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

// ServiceOptions configures a [Service].
type ServiceOptions struct {
	Name          string
	Address       string
	FailureDomain string
	Incarnation   int64
	// Serves lists the names of the services that the replica provides.
	Serves []string
	// WorkTime is the duration of one call.
	WorkTime time.Duration
	// History is the path of a file that records executions across restarts.
	// If it is empty, executions are kept in memory only.
	History string
	// HonorsKeys makes the service execute repeated calls with the same
	// idempotency key only once.
	HonorsKeys bool
}

// Execution records a call that a service executed.
type Execution struct {
	Key       string    `json:"key"`
	RequestID string    `json:"request_id"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Replica   string    `json:"replica"`
	At        time.Time `json:"at"`
}

// Service is a replica of plain services. It executes any call, which only takes
// WorkTime, and records it with its idempotency key.
type Service struct {
	opts   ServiceOptions
	faults faultInjector

	mu         sync.Mutex
	draining   bool
	running    int
	executions []Execution
	// rejected lists the calls that were rejected because the replica was
	// draining.
	rejected     []Execution
	executedKeys map[string]bool
	history      *os.File
}

// NewService returns a service, restoring earlier executions from the history
// file if there is one.
func NewService(o ServiceOptions) (*Service, error) {
	s := &Service{opts: o, executedKeys: map[string]bool{}}
	if o.History == "" {
		return s, nil
	}
	var err error
	s.history, err = os.OpenFile(o.History, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	scanner := bufio.NewScanner(s.history)
	for scanner.Scan() {
		var e Execution
		// A line that was truncated when the process was killed is skipped:
		// its call was never answered.
		if json.Unmarshal(scanner.Bytes(), &e) == nil {
			s.executions = append(s.executions, e)
			s.executedKeys[e.Key] = true
		}
	}
	return s, scanner.Err()
}

// App returns the service's HTTP application.
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
		return c.JSON(s.rejected)
	})
	app.Post("/drain", func(c fiber.Ctx) error {
		s.Drain()
		return c.SendStatus(fiber.StatusNoContent)
	})
	s.faults.register(app)
	app.All("/*", s.serveCall)
	return app
}

// Drain makes the service reject new calls.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Busy reports whether calls are in progress.
func (s *Service) Busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running > 0
}

// Host returns the replica's entry for the platform's host list.
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
	if s.faults.consumeResponseDrop() {
		return closeConnection(c)
	}
	return c.JSON(fiber.Map{"ok": true, "replica": s.opts.Name, "key": e.Key})
}

// begin records the start of a call. It returns false if the replica is draining
// and the call must be rejected.
func (s *Service) begin(e Execution) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		s.rejected = append(s.rejected, e)
		return false
	}
	s.running++
	if s.opts.HonorsKeys && s.executedKeys[e.Key] {
		return true
	}
	s.executedKeys[e.Key] = true
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
