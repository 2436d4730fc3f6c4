package hosted

import (
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"bulrushshed/platform"
)

const (
	// addressTTL is how long callers may cache the addresses.
	addressTTL = time.Second
	// minLocalHosts is how many hosts a caller's failure domain must have for the
	// caller to get only their addresses.
	minLocalHosts = 2
	// maxAddresses bounds the number of addresses in a response.
	maxAddresses = 64
)

// ready reports whether the host accepts requests.
func (h *Host) ready() bool {
	t, fresh := h.Table()
	return t != nil && fresh && !h.stopping.Load()
}

func (h *Host) serveReady(ln net.Listener) error {
	return h.serveAuxiliary(ln, func(ctx *fasthttp.RequestCtx) {
		switch {
		case string(ctx.Path()) != platform.PathReady:
			ctx.SetStatusCode(http.StatusNotFound)
		case !h.ready():
			ctx.SetStatusCode(http.StatusServiceUnavailable)
		}
	})
}

func (h *Host) serveMetrics(ln net.Listener) error {
	return h.serveAuxiliary(ln, func(ctx *fasthttp.RequestCtx) { h.meter.Write(ctx) })
}

func (h *Host) serveDirectory(ln net.Listener) error {
	return h.serveAuxiliary(ln, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != platform.PathAddresses {
			ctx.SetStatusCode(http.StatusNotFound)
			return
		}
		all := h.addresses(string(ctx.QueryArgs().Peek(platform.QueryFailureDomain)))
		if len(all) == 0 {
			ctx.SetStatusCode(http.StatusServiceUnavailable)
			return
		}
		body, err := platform.EncodeAddresses(all, min(addressTTL, h.cfg.AddressesValidMax.D()))
		if err != nil {
			h.log.Error("directory: encoding the addresses failed", "cause", err.Error())
			ctx.SetStatusCode(http.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	})
}

// addresses returns the addresses that a caller in a failure domain should use.
// They include this host's own only if it is ready.
func (h *Host) addresses(domain string) []string {
	peers := h.group.members()
	if len(peers) == 0 && h.ready() {
		return []string{h.cfg.CallerAddress}
	}
	local := lo.Filter(peers, func(p Peer, _ int) bool { return p.FailureDomain == domain })
	if len(local) >= minLocalHosts {
		peers = local
	}
	all := lo.Map(peers, func(p Peer, _ int) string { return p.Address })
	if !h.ready() {
		all = slices.DeleteFunc(all, func(a string) bool { return a == h.cfg.CallerAddress })
	}
	return all[:min(len(all), maxAddresses)]
}
