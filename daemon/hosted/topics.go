package hosted

import (
	"time"

	"bulrushshed/feed"
	"bulrushshed/platform"
	"bulrushshed/replica"
)

func (h *Host) replicaSubscription() subscription {
	return subscription{
		topic: platform.TopicReplicas, pollTimeout: replicasPollTimeout, batchDelay: replicasBatchDelay, apply: h.applyReplicas, markDown: h.replicas.MarkStoreDown,
		relayed: func(p feed.Page) feed.Page { return p },
		confirm: func(time.Duration) { h.replicas.MarkStoreUp(time.Now()) },
	}
}

func (h *Host) applyReplicas(p feed.Page, from origin) {
	now := time.Now()
	var all []replica.Replica
	for _, c := range p.Changes {
		r, ok := h.decodeReplica(c)
		switch {
		case from.snapshot && ok:
			all = append(all, r)
		case from.snapshot:
		case ok:
			h.replicas.Put(r)
		default:
			h.replicas.Remove(c.Key, now)
		}
	}
	switch {
	case !from.snapshot:
	case h.replicasKnown.Load() && p.Era > h.replicasEra:
		h.replicas.Restore(all, now)
	default:
		h.replicas.Replace(all, now)
	}
	h.replicasEra = p.Era
	h.replicasKnown.Store(h.replicasKnown.Load() || from.snapshot)
}

// decodeReplica decodes an entry of the replica list and logs the change; ok is
// false if the entry was deleted or is invalid, which counts as deleted.
func (h *Host) decodeReplica(c feed.Change) (r replica.Replica, ok bool) {
	if len(c.Value) == 0 {
		h.log.Info("replicas: entry removed", "replica", c.Key, "offset", c.Offset)
		return r, false
	}
	r, err := platform.DecodeReplica(c.Key, c.Value)
	if err != nil {
		h.log.Warn("replicas: invalid entry treated as removed", "replica", c.Key, "offset", c.Offset, "cause", err.Error())
		return r, false
	}
	h.log.Info("replicas: entry updated", "replica", r.ID, "address", r.Address, "domain", r.FailureDomain, "draining", r.Draining,
		"started", r.Started, "from", r.Layers.From, "to", r.Layers.To, "offset", c.Offset)
	return r, true
}
