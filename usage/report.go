package usage

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EngineID identifies one incarnation of an engine. Reports of use have only the low
// keyBits of it, so engines with the same ones are taken for one.
type EngineID uint64

// NewEngineID returns the ID of the incarnation of an engine at an address.
func NewEngineID(address, incarnation string) EngineID {
	return EngineID(xxhash.Sum64String(address + "\x00" + incarnation))
}

func (e EngineID) key() uint32 { return uint32(e) & (1<<keyBits - 1) }

// HostID identifies a host.
type HostID uint32

// NewHostID returns the ID of the host at an address.
func NewHostID(address string) HostID { return HostID(xxhash.Sum64String(address)) }

// Use is what a host uses of an engine.
type Use struct {
	Engine EngineID
	// Cells is the fraction of the KV cache of the engine, and Streams the number of
	// streams that begin there.
	Cells   float64
	Streams int
}

// Kind is what a host found out about an engine.
type Kind byte

// The kinds of findings.
const (
	// Down means that the engine failed a check.
	Down Kind = iota + 1
	// Full means that it refused a stream for want of capacity.
	Full
	// Back means that it responds again.
	Back
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Down:
		return "down"
	case Full:
		return "full"
	case Back:
		return "back"
	}
	return fmt.Sprintf("kind %d", byte(k))
}

// Finding is what a host found out about an engine.
type Finding struct {
	Engine EngineID
	Kind   Kind
	// Left is how long an engine is expected to be full.
	Left time.Duration
}

// Report is what one host tells the others.
type Report struct {
	Host HostID
	// Incarnation is the start time of the host in Unix milliseconds. Seq increases with
	// each report of an incarnation.
	Incarnation int64
	Seq         uint64
	// Complete is set if Uses has all engines that the host uses; otherwise it has those
	// whose use has changed.
	Complete bool
	// Last is set if the host sends no further report.
	Last     bool
	Uses     []Use
	Findings []Finding
}

const (
	formatVersion = 1
	flagComplete  = 1
	flagLast      = 2
	// keyBits is the number of bits that identify an engine in a report of use. Of 1,000
	// engines, two are the same in 3 of 100 lists; their uses are added up then.
	keyBits = 24
	// cellBits and streamBits share two bytes. Cells are counted in 1/cellUnits of the KV
	// cache. Utilization is estimated, so it may exceed 1, but paths are not placed on
	// engines above 1.8.
	cellBits   = 11
	streamBits = 5
	cellUnits  = 1000
	maxCells   = 1<<cellBits - 1
	maxStreams = 1<<streamBits - 1
	useBytes   = 5
	// headerBytes is the size of the fields before Seq.
	headerBytes  = 12
	findingBytes = 11
	maxFindings  = math.MaxUint8
	// incarnationBits is the size of the incarnation in a report.
	incarnationBits = 48
)

// packedUse has the cells and the streams of a Use as in a report.
type packedUse uint16

// pack rounds a use that is not 0 to at least one unit.
func (u Use) pack() packedUse {
	cells := min(math.Round(u.Cells*cellUnits), maxCells)
	if u.Cells > 0 {
		cells = max(cells, 1)
	}
	return packedUse(max(cells, 0))<<streamBits | packedUse(max(min(u.Streams, maxStreams), 0))
}

func (p packedUse) units() int     { return int(p >> streamBits) }
func (p packedUse) cells() float64 { return float64(p.units()) / cellUnits }
func (p packedUse) streams() int   { return int(p & maxStreams) }

// Encode returns the encoded report.
func (r Report) Encode() []byte {
	findings := r.Findings[:min(len(r.Findings), maxFindings)]
	b := make([]byte, 0, headerBytes+binary.MaxVarintLen64+1+findingBytes*len(findings)+useBytes*len(r.Uses))
	flags := byte(0)
	if r.Complete {
		flags |= flagComplete
	}
	if r.Last {
		flags |= flagLast
	}
	b = append(b, formatVersion, flags)
	b = binary.BigEndian.AppendUint32(b, uint32(r.Host))
	var incarnation [8]byte
	binary.BigEndian.PutUint64(incarnation[:], uint64(r.Incarnation)&(1<<incarnationBits-1))
	b = append(b, incarnation[2:]...)
	b = binary.AppendUvarint(b, r.Seq)
	b = append(b, byte(len(findings)))
	for _, f := range findings {
		b = binary.BigEndian.AppendUint64(b, uint64(f.Engine))
		b = append(b, byte(f.Kind))
		b = binary.BigEndian.AppendUint16(b, uint16(max(min(f.Left.Milliseconds(), math.MaxUint16), 0)))
	}
	for _, u := range r.Uses {
		key := u.Engine.key()
		b = append(b, byte(key>>16), byte(key>>8), byte(key))
		b = binary.BigEndian.AppendUint16(b, uint16(u.pack()))
	}
	return b
}

// Decode returns the report that b encodes. The engines of its uses have only the low bits
// of their IDs. The error is an *Error.
func Decode(b []byte) (Report, error) {
	malformed := &Error{Op: "decode", Kind: KindMalformed}
	if len(b) < headerBytes {
		return Report{}, malformed
	}
	if b[0] != formatVersion {
		return Report{}, &Error{Op: "decode", Kind: KindVersion}
	}
	r := Report{
		Complete: b[1]&flagComplete != 0, Last: b[1]&flagLast != 0, Host: HostID(binary.BigEndian.Uint32(b[2:])),
		Incarnation: int64(binary.BigEndian.Uint64(slices.Concat([]byte{0, 0}, b[6:headerBytes]))),
	}
	seq, n := binary.Uvarint(b[headerBytes:])
	b = b[headerBytes+max(n, 0):]
	if n <= 0 || len(b) == 0 {
		return Report{}, malformed
	}
	r.Seq = seq
	findings := int(b[0])
	b = b[1:]
	if len(b) < findings*findingBytes || (len(b)-findings*findingBytes)%useBytes != 0 {
		return Report{}, malformed
	}
	for ; findings > 0; findings-- {
		r.Findings = append(r.Findings, Finding{
			Engine: EngineID(binary.BigEndian.Uint64(b)), Kind: Kind(b[8]), Left: time.Duration(binary.BigEndian.Uint16(b[9:])) * time.Millisecond,
		})
		b = b[findingBytes:]
	}
	for ; len(b) > 0; b = b[useBytes:] {
		p := packedUse(binary.BigEndian.Uint16(b[3:]))
		key := uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
		r.Uses = append(r.Uses, Use{Engine: EngineID(key), Cells: p.cells(), Streams: p.streams()})
	}
	return r, nil
}
