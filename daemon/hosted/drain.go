package hosted

import "time"

// drain leaves the group and keeps accepting requests for a while, because
// callers may still have this host's address cached. It then closes the
// listener and waits until all requests, also those that it relays, have been answered or the grace
// period, within which a stopping host must exit, is about to end. The requests that are left
// then are interrupted and answered, so that none ends without an answer.
func (h *Host) drain() {
	startedAt := time.Now()
	h.stopping.Store(true)
	h.log.Info("host: stopping", "requests", h.callerServer.Active())
	leaveDone := h.group.leave()
	acceptFor := time.Duration(drainAcceptFraction * float64(h.cfg.Grace.D()))
	time.Sleep(acceptFor)
	h.closing.Store(true)
	h.connector.Stop()
	if err := h.listener.Close(); err != nil {
		h.log.Warn("host: closing the listener failed", "cause", err.Error())
	}
	end := startedAt.Add(h.cfg.Grace.D() - drainExitMargin)
	pollUntil(end, func() bool { return h.callerServer.Active() == 0 && h.connector.Relayed() == 0 })
	interrupted := h.callerServer.Active()
	h.interrupt()
	pollUntil(end.Add(drainAnswerTime), func() bool { return h.callerServer.Active() == 0 })
	<-leaveDone
	h.log.Info("host: drained", "requests_interrupted", interrupted, "requests_cut", h.callerServer.Active(), "relayed_cut", h.connector.Relayed(),
		"took_ms", time.Since(startedAt).Milliseconds())
}

// pollUntil waits until done returns true, but not beyond a time.
func pollUntil(end time.Time, done func() bool) {
	for !done() && time.Now().Before(end) {
		time.Sleep(min(drainPollInterval, time.Until(end)))
	}
}
