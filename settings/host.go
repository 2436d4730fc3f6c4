package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Host holds the settings of a daemon that runs on the users' platform.
type Host struct {
	// Name is the host's name, unique among all hosts.
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// All addresses are IP:port pairs. CallerAddress accepts callers,
	// ReadyAddress serves the platform's readiness check, DirectoryAddress
	// tells callers which addresses to use, MetricsAddress serves metrics,
	// PeerAddress accepts other hosts over QUIC, and StoreAddress is the
	// address of the platform's store.
	CallerAddress    string `json:"caller_address"`
	ReadyAddress     string `json:"ready_address"`
	DirectoryAddress string `json:"directory_address"`
	MetricsAddress   string `json:"metrics_address"`
	PeerAddress      string `json:"peer_address"`
	StoreAddress     string `json:"store_address"`
	// MemoryMB is the memory limit of the process.
	MemoryMB int `json:"memory_mb"`
	// RequestMemoryMB bounds the memory of callers' requests; 0 means a quarter of
	// MemoryMB.
	RequestMemoryMB int `json:"request_memory_mb"`
	// After BodyGrace, a request's body must have arrived at BodyBytesPerSecond on
	// average.
	BodyGrace          Duration `json:"body_grace"`
	BodyBytesPerSecond int      `json:"body_bytes_per_second"`
	// StorePartitionMB is the size in MB up to which a topic of the store holds records.
	StorePartitionMB int `json:"store_partition_mb"`
	// ProcessorShare is the processor time that the host may use, in cores, and
	// LinkMbps the bandwidth of its link.
	ProcessorShare float64 `json:"processor_share"`
	LinkMbps       float64 `json:"link_mbps"`
	// Revoke bounds how long an API key is still accepted after its revocation.
	Revoke Duration `json:"revoke"`
	// Grace bounds the time from the termination signal to the exit.
	Grace Duration `json:"grace"`
	// AddressesValidMax bounds how long callers may cache addresses.
	AddressesValidMax Duration `json:"addresses_valid_max"`
	// RetryRatio and RetryExtra bound the retries in each RetryWindow: this
	// host may make RetryRatio retries per request, and all hosts together
	// RetryExtra more.
	RetryRatio  float64  `json:"retry_ratio"`
	RetryExtra  float64  `json:"retry_extra"`
	RetryWindow Duration `json:"retry_window"`
	Log         Log      `json:"log"`
}

// DefaultHost returns the defaults of the fields that a file may omit.
func DefaultHost() Host {
	return Host{
		StorePartitionMB: 200,
		MemoryMB:         256, ProcessorShare: 1, LinkMbps: 1000, Revoke: Duration(5 * time.Second), Grace: Duration(8 * time.Second),
		AddressesValidMax: Duration(5 * time.Second), RetryRatio: 0.2, RetryExtra: 100, RetryWindow: Duration(10 * time.Second),
		BodyGrace: Duration(20 * time.Second), BodyBytesPerSecond: 16 << 10,
		Log: Log{Format: "json", Level: "info"},
	}
}

// requestMemoryShare is the default of RequestMemoryMB, as a part of MemoryMB.
const requestMemoryShare = 4

// RequestMemoryBytes returns the bound on the memory of requests in bytes.
func (h Host) RequestMemoryBytes() int {
	if h.RequestMemoryMB == 0 {
		return h.MemoryMB << 20 / requestMemoryShare
	}
	return h.RequestMemoryMB << 20
}

// LoadHost reads and validates the settings file of a host on the platform.
func LoadHost(path string) (Host, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Host{}, &Error{Op: "load", Kind: KindUnreadable, Faults: []string{err.Error()}}
	}
	return ParseHost(text)
}

// ParseHost decodes a host's settings over the defaults and validates every
// field.
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
	c.nonEmpty("name", h.Name)
	c.nonEmpty("failure_domain", h.FailureDomain)
	c.address("caller_address", h.CallerAddress)
	c.address("ready_address", h.ReadyAddress)
	c.address("directory_address", h.DirectoryAddress)
	c.address("metrics_address", h.MetricsAddress)
	c.address("peer_address", h.PeerAddress)
	c.address("store_address", h.StoreAddress)
	c.count("memory_mb", h.MemoryMB, maxCount)
	if h.RequestMemoryMB != 0 {
		c.count("request_memory_mb", h.RequestMemoryMB, h.MemoryMB)
	}
	c.positive("body_grace", h.BodyGrace)
	c.count("body_bytes_per_second", h.BodyBytesPerSecond, maxBytes)
	c.count("store_partition_mb", h.StorePartitionMB, maxCount)
	c.positive("revoke", h.Revoke)
	c.positive("grace", h.Grace)
	c.positive("addresses_valid_max", h.AddressesValidMax)
	c.positive("retry_window", h.RetryWindow)
	if h.RetryRatio < 0 || h.RetryRatio > 1 {
		c.addFault("retry_ratio", fmt.Sprint(h.RetryRatio), "0 to 1")
	}
	if h.ProcessorShare <= 0 {
		c.addFault("processor_share", fmt.Sprint(h.ProcessorShare), "more than 0")
	}
	if h.LinkMbps <= 0 {
		c.addFault("link_mbps", fmt.Sprint(h.LinkMbps), "more than 0")
	}
	if h.RetryExtra < 0 {
		c.addFault("retry_extra", fmt.Sprint(h.RetryExtra), "0 or more")
	}
	c.oneOf("log.format", h.Log.Format, "json", "text")
	c.oneOf("log.level", h.Log.Level, "debug", "info", "warn", "error")
	return c.faults
}
