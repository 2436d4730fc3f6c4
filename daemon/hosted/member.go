package hosted

import (
	"strconv"
	"strings"
	"time"
)

// Peer is an entry host that takes requests.
type Peer struct {
	// Name is that of one start of the host, by which it is a member of the
	// group.
	Name          string
	Address       string
	FailureDomain string
	// PeerAddress is where other hosts meet it, and Pin how they know it.
	PeerAddress string
	Pin         string
	// Power is its processor times its link, to compare hosts.
	Power float64
}

const (
	// memberFields is the number of fields of a member's name, between bars.
	memberFields = 6
	// powerDigits is the number of digits of a power in it.
	powerDigits = 3
	// startLayout is how a name tells the start of its host.
	startLayout = "150405.000000"
)

// member returns the name of the host that started at a time: all that others need
// to know of it.
func (p Peer) member(started time.Time) string {
	power := strconv.FormatFloat(p.Power, 'g', powerDigits, 64)
	return strings.Join([]string{p.Address, p.FailureDomain, p.PeerAddress, p.Pin, power, started.Format(startLayout)}, "|")
}

// peerOf reads a member's name; ok is false for one that no host gave itself.
func peerOf(name string) (p Peer, ok bool) {
	fields := strings.Split(name, "|")
	if len(fields) != memberFields {
		return Peer{}, false
	}
	power, err := strconv.ParseFloat(fields[4], 64)
	if err != nil {
		return Peer{}, false
	}
	return Peer{Name: name, Address: fields[0], FailureDomain: fields[1], PeerAddress: fields[2], Pin: fields[3], Power: power}, true
}
