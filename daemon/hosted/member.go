package hosted

import (
	"strconv"
	"strings"
	"time"
)

// Peer is an entry host that is a member of the group.
type Peer struct {
	// Name is the host's name as a group member. It changes with each restart of
	// the host.
	Name          string
	Address       string
	FailureDomain string
	// PeerAddress is the address for connections from other hosts, and Pin
	// identifies the host's certificate on them.
	PeerAddress string
	Pin         string
	// Capacity is the product of processor share and link speed. It is used to
	// compare hosts.
	Capacity float64
}

const (
	// memberNameFields is the number of fields in a member name, which are
	// separated by vertical bars.
	memberNameFields = 6
	// capacityDigits is the number of significant digits of the capacity in a
	// member name.
	capacityDigits = 3
	// startTimeLayout is the format of the start time in a member name.
	startTimeLayout = "150405.000000"
)

// memberName returns the member name of a host that started at the given time.
// It encodes everything that other hosts need to know about the host.
func (p Peer) memberName(started time.Time) string {
	capacity := strconv.FormatFloat(p.Capacity, 'g', capacityDigits, 64)
	return strings.Join([]string{p.Address, p.FailureDomain, p.PeerAddress, p.Pin, capacity, started.Format(startTimeLayout)}, "|")
}

// parseMemberName parses a member name; ok is false if it is not one.
func parseMemberName(name string) (p Peer, ok bool) {
	fields := strings.Split(name, "|")
	if len(fields) != memberNameFields {
		return Peer{}, false
	}
	capacity, err := strconv.ParseFloat(fields[4], 64)
	if err != nil {
		return Peer{}, false
	}
	return Peer{Name: name, Address: fields[0], FailureDomain: fields[1], PeerAddress: fields[2], Pin: fields[3], Capacity: capacity}, true
}
