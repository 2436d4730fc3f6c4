package hosted

import "time"

// drain leaves the group, serves callers that still hold this host's address,
// and then only what has begun, until that is done or the grace ends.
func (h *Host) drain() {
	began := time.Now()
	h.stopping.Store(true)
	h.log.Info("host: stopping", "requests", h.present.Load())
	left := h.group.leave()
	accepting := time.Duration(acceptShare * float64(h.cfg.Grace.D()))
	time.Sleep(accepting)
	h.closing.Store(true)
	if err := h.listener.Close(); err != nil {
		h.log.Warn("host: listener not closed", "cause", err.Error())
	}
	for h.present.Load() > 0 && time.Since(began) < h.cfg.Grace.D()-stopMargin {
		time.Sleep(pollStop)
	}
	<-left
	h.log.Info("host: drained", "requests_cut", h.present.Load(), "took_ms", time.Since(began).Milliseconds())
}
