package operator

import (
	"crypto/tls"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/directory"
	"bulrushshed/ingresshttp"
	"bulrushshed/keys"
	"bulrushshed/publication"
)

// Status is the state of a host.
type Status struct {
	Name          string            `json:"name"`
	FailureDomain string            `json:"failure_domain"`
	Incarnation   int64             `json:"incarnation"`
	Draining      bool              `json:"draining"`
	Rules         publication.State `json:"rules"`
	RulesText     string            `json:"rules_text,omitempty"`
	// Requests is the number of active requests, Claims the number of
	// idempotency keys in the claim table, and Items the number of gossip items.
	Requests int `json:"requests"`
	Claims   int `json:"claims"`
	Items    int `json:"items"`
	// HostListFailure is the error of the last read of the platform's host list,
	// or "".
	HostListFailure string                 `json:"platform_failure"`
	Hosts           []directory.HostStatus `json:"hosts"`
	At              time.Time              `json:"at"`
}

// Host is the entry host that the API describes. WriteMetrics responds to a
// request for the metrics.
type Host interface {
	Status(withText bool) Status
	Explain(q Query) (Explanation, error)
	WriteMetrics(c fiber.Ctx) error
}

// NewServer returns the server of the operator API. It takes GET without a body.
func NewServer(h Host, o ingresshttp.ConnectionOptions, log *slog.Logger) *ingresshttp.AuxiliaryServer {
	return ingresshttp.NewAuxiliaryServer(o, log, newApp(h).Handler())
}

func newApp(h Host) *fiber.App {
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

// Listen listens on the operators' address. If that is not a loopback address, or
// if requireTLS is set, it uses TLS and accepts only client certificates of
// operators and hosts.
func Listen(address string, cfg *tls.Config, requireTLS bool) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	bound, err := netip.ParseAddrPort(ln.Addr().String())
	if err == nil && bound.Addr().IsLoopback() && !requireTLS {
		return ln, nil
	}
	return tls.NewListener(ln, keys.RequireRole(cfg, keys.RoleOperator, keys.RoleHost)), nil
}
