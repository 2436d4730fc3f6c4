package quarantine

import (
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
	"time"

	"bulrushshed/gossip"
)

// Finding is what a host tells the others about a part of prompts: that an engine crashed
// under it, or that it is cleared.
type Finding struct {
	Part uint64
	// Generation is the one in which the crash was observed, or the last one that is
	// cleared.
	Generation int64
	// Engine identifies the incarnation of the engine that crashed. It is empty if the
	// part is cleared.
	Engine string
	// Others are the other parts that may have caused the crash.
	Others []uint64
}

const (
	// itemKeyPrefix begins the keys of the gossip items of findings.
	itemKeyPrefix = "part/"
	kindCleared   = "cleared"
	kindCrash     = "crash"
	// partBytes is the encoded size of a part in the value of an item.
	partBytes = 8
)

// memory is how long a part is remembered after its last finding.
const memory = 15 * time.Minute

// Item returns the gossip item that carries a finding.
func (f Finding) Item() gossip.Item {
	key := itemKeyPrefix + formatPart(f.Part) + "/"
	if f.Engine == "" {
		return gossip.Item{Key: key + kindCleared, Stamp: f.Generation, TTLMS: memory.Milliseconds()}
	}
	i := gossip.Item{Key: key + kindCrash + "/" + strconv.FormatInt(f.Generation, 10) + "/" + f.Engine, Stamp: f.Generation, TTLMS: memory.Milliseconds()}
	for _, other := range f.Others {
		i.Value = binary.BigEndian.AppendUint64(i.Value, other)
	}
	return i
}

// ParseItem returns the finding that a gossip item carries; ok is false if it carries
// none.
func ParseItem(i gossip.Item) (f Finding, ok bool) {
	fields := strings.SplitN(i.Key, "/", 5)
	if len(fields) < 3 || fields[0]+"/" != itemKeyPrefix {
		return Finding{}, false
	}
	part, err := strconv.ParseUint(fields[1], 16, 64)
	f = Finding{Part: part, Generation: i.Stamp}
	switch {
	case err != nil:
		return Finding{}, false
	case fields[2] == kindCleared:
		return f, len(fields) == 3
	case fields[2] != kindCrash || len(fields) != 5 || fields[4] == "":
		return Finding{}, false
	}
	f.Engine = fields[4]
	for other := range slices.Chunk(i.Value, partBytes) {
		if len(other) == partBytes {
			f.Others = append(f.Others, binary.BigEndian.Uint64(other))
		}
	}
	return f, true
}
