package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Host are the settings of a daemon on the users' platform.
type Host struct {
	// Name is the host's name, unique among all hosts.
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// All addresses are IP:port pairs: where callers connect, where the
	// platform asks whether the host is ready, where callers ask for
	// addresses, where metrics are read, where other hosts are met over QUIC,
	// and where the store is.
	CallerAddress    string `json:"caller_address"`
	ReadyAddress     string `json:"ready_address"`
	DirectoryAddress string `json:"directory_address"`
	MetricsAddress   string `json:"metrics_address"`
	PeerAddress      string `json:"peer_address"`
	StoreAddress     string `json:"store_address"`
	// MemoryMB bounds the process.
	MemoryMB int `json:"memory_mb"`
	// ProcessorShare is the host's part of a core, and LinkMbps its link.
	ProcessorShare float64 `json:"processor_share"`
	LinkMbps       float64 `json:"link_mbps"`
	// Revoke is how long a key may be used once it is taken away.
	Revoke Duration `json:"revoke"`
	// Grace is the time from the signal to stop to the end.
	Grace Duration `json:"grace"`
	// AddressesValidMax bounds how long callers may keep addresses.
	AddressesValidMax Duration `json:"addresses_valid_max"`
	// RetryRatio is the share of requests that may be sent once more in a
	// RetryWindow, and RetryExtra how many more by all hosts together.
	RetryRatio  float64  `json:"retry_ratio"`
	RetryExtra  float64  `json:"retry_extra"`
	RetryWindow Duration `json:"retry_window"`
	Log         Log      `json:"log"`
}

// DefaultHost returns the settings that a file need not name.
func DefaultHost() Host {
	return Host{
		MemoryMB: 256, ProcessorShare: 1, LinkMbps: 1000, Revoke: Duration(5 * time.Second), Grace: Duration(8 * time.Second),
		AddressesValidMax: Duration(5 * time.Second), RetryRatio: 0.2, RetryExtra: 100, RetryWindow: Duration(10 * time.Second),
		Log: Log{Format: "json", Level: "info"},
	}
}

// LoadHost reads and checks the settings file of a host on the platform.
func LoadHost(path string) (Host, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Host{}, &Error{Op: "load", Kind: KindUnreadable, Faults: []string{err.Error()}}
	}
	return ParseHost(text)
}

// ParseHost reads a host's settings over the defaults and checks every field.
func ParseHost(text []byte) (Host, error) {
	h := DefaultHost()
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&h); err != nil {
		return Host{}, &Error{Op: "parse", Kind: KindUnreadable, Faults: []string{err.Error()}}
	}
	if faults := h.faults(); len(faults) > 0 {
		return Host{}, &Error{Op: "check", Kind: KindFaulty, Faults: faults}
	}
	return h, nil
}

func (h Host) faults() []string {
	c := &checker{}
	c.text("name", h.Name)
	c.text("failure_domain", h.FailureDomain)
	c.address("caller_address", h.CallerAddress)
	c.address("ready_address", h.ReadyAddress)
	c.address("directory_address", h.DirectoryAddress)
	c.address("metrics_address", h.MetricsAddress)
	c.address("peer_address", h.PeerAddress)
	c.address("store_address", h.StoreAddress)
	c.number("memory_mb", h.MemoryMB, maxCount)
	c.duration("revoke", h.Revoke)
	c.duration("grace", h.Grace)
	c.duration("addresses_valid_max", h.AddressesValidMax)
	c.duration("retry_window", h.RetryWindow)
	if h.RetryRatio < 0 || h.RetryRatio > 1 {
		c.wrong("retry_ratio", fmt.Sprint(h.RetryRatio), "0 to 1")
	}
	if h.ProcessorShare <= 0 {
		c.wrong("processor_share", fmt.Sprint(h.ProcessorShare), "more than 0")
	}
	if h.LinkMbps <= 0 {
		c.wrong("link_mbps", fmt.Sprint(h.LinkMbps), "more than 0")
	}
	if h.RetryExtra < 0 {
		c.wrong("retry_extra", fmt.Sprint(h.RetryExtra), "0 or more")
	}
	c.oneOf("log.format", h.Log.Format, "json", "text")
	c.oneOf("log.level", h.Log.Level, "debug", "info", "warn", "error")
	return c.faults
}
