package hosted

import (
	"context"
	"slices"
	"time"

	"bulrushshed/feed"
	"bulrushshed/gossip"
	"bulrushshed/ingress"
	"bulrushshed/peer"
	"bulrushshed/platform"
	"bulrushshed/settings"
)

const (
	// configKey is the key of the gossip item whose stamp is the highest version of the
	// configuration that any host has applied, and configItemTTL its time to live.
	configKey     = "config"
	configItemTTL = time.Hour
	// catchUpInterval is the interval at which a host that other hosts are ahead of asks
	// them for their configuration. A version usually arrives from the store before that.
	catchUpInterval = 500 * time.Millisecond
	// catchUpGap bounds the time in which no byte of the configuration of another host
	// arrives, and catchUpTimeout that of the whole request. In the latter, 50 MB arrive
	// at 14 Mbit/s.
	catchUpGap     = 800 * time.Millisecond
	catchUpTimeout = 30 * time.Second
	// catchUpHosts is the number of hosts that are asked in one interval.
	catchUpHosts = 3
	// maxRecordFraction is the fraction of settings.Host.MemoryMB up to which a record of
	// the store is held, such as a configuration. It takes several times its size
	// while it is decoded, and the old one is held until it is replaced.
	maxRecordFraction = 0.1
	// minRecordBytes is the least bound of a record. Its answer in base64 has 16 MiB.
	minRecordBytes = 12 << 20
	// largeConfigFraction is the fraction of the bound from which on a configuration is
	// logged as large.
	largeConfigFraction = 0.5
)

// maxRecordBytes returns the size up to which this host holds a record of the store.
func maxRecordBytes(cfg settings.Host) int {
	const bytesPerMB = 1 << 20
	held := max(int(maxRecordFraction*float64(cfg.MemoryMB)*bytesPerMB), minRecordBytes)
	return min(held, cfg.StorePartitionMB*bytesPerMB)
}

// appliedConfig is the newest configuration that this host has applied, as the operator
// wrote it. It is never replaced by an older one: a store that is restored from a backup
// may list an older one until the operator has written the newest again.
type appliedConfig struct {
	version int64
	text    []byte
	// at is its position in the store if direct is set, as this host has read it there.
	at     feed.Position
	direct bool
}

func (h *Host) configSubscription() subscription {
	return subscription{
		topic: platform.TopicConfig, pollTimeout: configPollTimeout, apply: h.applyConfig, relayed: h.relayedConfig,
		confirm: h.confirmConfig, markDown: func() {},
	}
}

// applyConfig applies the configurations of a page.
func (h *Host) applyConfig(p feed.Page, from origin) {
	h.trackSkippedConfig(p)
	for _, c := range p.Changes {
		if c.Key != platform.KeyConfig || len(c.Value) == 0 {
			continue
		}
		cfg, err := platform.DecodeConfig(c.Value)
		if err != nil {
			h.log.Error("config: decoding a configuration failed, configuration ignored", "offset", c.Offset, "cause", err.Error())
			continue
		}
		at := feed.Position{Era: p.Era, Offset: c.Offset}
		if from.direct && h.isNewlyWritten(cfg.Version, at, from.snapshot) {
			h.era.settle(p.Era)
		}
		h.replaceConfig(appliedConfig{version: cfg.Version, text: c.Value, at: at, direct: from.direct}, cfg)
	}
}

// trackSkippedConfig records whether the newest configuration is one that this host cannot
// hold. Its keys are not known then, so those of the last one are not confirmed any more.
func (h *Host) trackSkippedConfig(p feed.Page) {
	newest := int64(-1)
	for _, c := range p.Changes {
		if c.Key == platform.KeyConfig && c.Offset > newest {
			newest = c.Offset
			h.configSkipped.Store(false)
		}
	}
	for _, s := range p.Skipped {
		if s.Key == platform.KeyConfig && s.Offset > newest {
			h.configSkipped.Store(true)
		}
	}
}

// isNewlyWritten reports whether the operator has written a version since the store was
// last restored. Whatever the restore has lost is republished by then.
func (h *Host) isNewlyWritten(version int64, at feed.Position, snapshot bool) bool {
	if !snapshot {
		return true
	}
	// What the backup lists has the offset that it had before.
	old := h.applied.Load()
	return old != nil && old.direct && version == old.version && at.Era > old.at.Era && at.Offset != old.at.Offset
}

// replaceConfig makes a configuration the current one, if its version is higher.
func (h *Host) replaceConfig(applied appliedConfig, cfg ingress.Config) {
	h.configMu.Lock()
	defer h.configMu.Unlock()
	if old := h.applied.Load(); old != nil && applied.version <= old.version {
		return
	}
	if limit := maxRecordBytes(h.cfg); float64(len(applied.text)) > largeConfigFraction*float64(limit) {
		h.log.Warn("config: configuration is large", "version", applied.version, "bytes", len(applied.text), "limit", limit)
	}
	h.applied.Store(&applied)
	h.table.Store(ingress.NewTable(cfg))
	h.findings.publishConfig(applied.version)
	h.log.Info("config: applied", "version", cfg.Version, "rules", len(cfg.Rules), "customers", len(cfg.Customers), "position", applied.at, "direct", applied.direct)
}

// relayedConfig returns a page as it is passed on to followers: with the configuration
// that this host has applied, which may be newer than what a restored store lists.
func (h *Host) relayedConfig(p feed.Page) feed.Page {
	applied := h.applied.Load()
	if applied == nil {
		return p
	}
	p.Changes = slices.Clone(p.Changes)
	for i, c := range p.Changes {
		if c.Key == platform.KeyConfig && len(c.Value) > 0 {
			p.Changes[i].Value = applied.text
		}
	}
	return p
}

// confirmConfig records that all configurations up to a time are applied. Right after a
// restore the store cannot tell that: it may lack versions that were acknowledged.
func (h *Host) confirmConfig(at time.Duration) {
	if h.era.settled() && !h.configSkipped.Load() {
		h.freshness.Confirm(at)
	}
}

// publishConfig tells other hosts which version this host has applied.
func (f *findings) publishConfig(version int64) {
	f.table.Put(gossip.Item{Key: configKey, Stamp: version, TTLMS: configItemTTL.Milliseconds()}, time.Now())
	f.signal()
}

// renewConfigItem keeps the item with the version from expiring.
func (f *findings) renewConfigItem() {
	applied := f.host.applied.Load()
	if _, ok := f.table.Get(configKey); !ok && applied != nil {
		f.publishConfig(applied.version)
	}
}

// catchUpConfig asks other hosts for their configuration while one of them has applied a
// newer version. The store may have lost it, or not answer this host.
func (h *Host) catchUpConfig(ctx context.Context) {
	item, ok := h.findings.table.Get(configKey)
	applied := h.applied.Load()
	if !ok || applied != nil && applied.version >= item.Stamp {
		return
	}
	addresses, _ := h.findings.partners(time.Now())
	for _, address := range addresses[:min(len(addresses), catchUpHosts)] {
		ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		reply, err := h.feed.node.CallPaced(ctx, address, peer.Message{Kind: peer.KindConfig, MaxBytes: maxRecordBytes(h.cfg)}, catchUpGap)
		cancel()
		switch {
		case err != nil:
			h.log.Info("config: asking another host for its configuration failed", "host_asked", address, "cause", err.Error())
		case len(reply.Config) > 0:
			h.applyConfigOfHost(reply.Config, address)
		}
		if applied := h.applied.Load(); applied != nil && applied.version >= item.Stamp {
			return
		}
	}
}

// applyConfigOfHost applies the configuration of the host at an address.
func (h *Host) applyConfigOfHost(text []byte, address string) {
	cfg, err := platform.DecodeConfig(text)
	if err != nil {
		h.log.Error("config: decoding the configuration of another host failed, configuration ignored", "host_asked", address, "cause", err.Error())
		return
	}
	h.replaceConfig(appliedConfig{version: cfg.Version, text: text}, cfg)
}

// configReply returns the configuration that this host has applied, for another host that
// can hold maxBytes. Hosts of older versions name no size.
func (h *Host) configReply(maxBytes int) peer.Reply {
	if applied := h.applied.Load(); applied != nil && (maxBytes == 0 || len(applied.text) <= maxBytes) {
		return peer.Reply{Config: applied.text}
	}
	return peer.Reply{}
}
