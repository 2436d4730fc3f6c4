package hosted

import (
	"time"

	"bulrushshed/feed"
	"bulrushshed/ingress"
	"bulrushshed/platform"
	"bulrushshed/replica"
)

func (h *Host) configFollower() follower {
	return follower{topic: platform.TopicConfig, wait: configWait, apply: h.applyConfig, proved: h.fresh.Confirm, lost: func() {}}
}

// applyConfig puts the newest configuration in force; versions only grow.
func (h *Host) applyConfig(p feed.Page, _ bool) {
	for _, c := range p.Changes {
		if c.Key != platform.KeyConfig || len(c.Value) == 0 {
			continue
		}
		cfg, err := platform.DecodeConfig(c.Value)
		if err != nil {
			h.log.Error("config: unreadable", "offset", c.Offset, "cause", err.Error())
			continue
		}
		old := h.table.Load()
		if old != nil && cfg.Version <= old.Version {
			continue
		}
		h.table.Store(ingress.NewTable(cfg))
		h.log.Info("config: in force", "version", cfg.Version, "offset", c.Offset, "rules", len(cfg.Rules), "customers", len(cfg.Customers))
	}
}

func (h *Host) replicaFollower() follower {
	return follower{
		topic: platform.TopicReplicas, wait: replicasWait, gather: gatherTime, apply: h.applyReplicas, lost: h.replicas.MarkStoreDown,
		proved: func(time.Duration) { h.replicas.MarkStoreUp(time.Now()) },
	}
}

func (h *Host) applyReplicas(p feed.Page, whole bool) {
	now := time.Now()
	var all []replica.Replica
	for _, c := range p.Changes {
		r, ok := h.decodeReplica(c)
		switch {
		case whole && ok:
			all = append(all, r)
		case whole:
		case ok:
			h.replicas.Put(r)
		default:
			h.replicas.Remove(c.Key, now)
		}
	}
	if whole {
		h.replicas.Replace(all, now)
		h.listed.Store(true)
	}
}

// decodeReplica reads an entry of the list, and logs what it changes.
func (h *Host) decodeReplica(c feed.Change) (r replica.Replica, ok bool) {
	if len(c.Value) == 0 {
		h.log.Info("replicas: gone", "replica", c.Key, "offset", c.Offset)
		return r, false
	}
	r, err := platform.DecodeReplica(c.Key, c.Value)
	if err != nil {
		h.log.Warn("replicas: entry ignored", "replica", c.Key, "offset", c.Offset, "cause", err.Error())
		return r, false
	}
	h.log.Info("replicas: listed", "replica", r.ID, "address", r.Address, "domain", r.FailureDomain, "draining", r.Draining,
		"started", r.Started, "from", r.Layers.From, "to", r.Layers.To, "offset", c.Offset)
	return r, true
}
