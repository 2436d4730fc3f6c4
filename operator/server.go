package operator

import (
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/directory"
	"bulrushshed/keys"
	"bulrushshed/publication"
)

// Status is what a host knows and does.
type Status struct {
	Name          string            `json:"name"`
	FailureDomain string            `json:"failure_domain"`
	Incarnation   int64             `json:"incarnation"`
	Draining      bool              `json:"draining"`
	Rules         publication.State `json:"rules"`
	RulesText     string            `json:"rules_text,omitempty"`
	// Requests, Claims and Items are the requests under way, the keys at
	// hand and the gossip items.
	Requests int `json:"requests"`
	Claims   int `json:"claims"`
	Items    int `json:"items"`
	// PlatformFailure is why the platform's list could not be read, or "".
	PlatformFailure string                 `json:"platform_failure"`
	Hosts           []directory.HostStatus `json:"hosts"`
	At              time.Time              `json:"at"`
}

// Host is the part of a daemon that operators see.
type Host interface {
	Status(withText bool) Status
	Explain(q Query) (Explanation, error)
	WriteMetrics(c fiber.Ctx) error
}

// NewApp returns the operators' HTTP application.
func NewApp(h Host) *fiber.App {
	app := fiber.New(fiber.Config{Immutable: true})
	app.Get("/v1/status", func(c fiber.Ctx) error { return c.JSON(h.Status(c.Query("text") == "true")) })
	app.Get("/v1/explain", func(c fiber.Ctx) error {
		e, err := h.Explain(Query{Customer: c.Query("customer"), Path: c.Query("path"), Model: c.Query("model")})
		if err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		return c.JSON(e)
	})
	app.Get("/metrics", h.WriteMetrics)
	return app
}

// Listen opens the operators' address. Beyond loopback, or if always is set,
// it is served over TLS to operators and hosts only.
func Listen(address string, cfg *tls.Config, requireTLS bool) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	at, err := netip.ParseAddrPort(ln.Addr().String())
	if err == nil && at.Addr().IsLoopback() && !requireTLS {
		return ln, nil
	}
	return tls.NewListener(ln, keys.RequireRole(cfg, keys.RoleOperator, keys.RoleHost)), nil
}
