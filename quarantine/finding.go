package quarantine

import (
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
	"time"

	"bulrushshed/gossip"
)

// Kind is the type of a Finding.
type Kind string

// The kinds of findings.
const (
	// KindCrash means that an engine crashed under a part.
	KindCrash Kind = "crash"
	// KindCleared means that an answer with a part has succeeded.
	KindCleared Kind = "cleared"
	// KindTrial means that a request with a held part is being tried.
	KindTrial Kind = "trial"
)

// Finding is what a host tells the others about a part of prompts.
type Finding struct {
	Kind Kind
	Part uint64
	// Generation is the one in which the crash or the trial occurred, or the last one
	// that is cleared.
	Generation int64
	// Subject identifies the incarnation of the engine that crashed, or the request
	// that is tried; empty for KindCleared.
	Subject string
	// Others are the other parts that may have caused the crash.
	Others []uint64
	// Lasted is how long the part was suspected, for KindCleared. It is not part of the
	// item.
	Lasted time.Duration
}

const (
	// itemKeyPrefix begins the keys of the gossip items of findings.
	itemKeyPrefix = "part"
	// itemKeyFields is the number of fields in a key, which are separated by slashes.
	// The last one, the subject, may have slashes of its own.
	itemKeyFields = 5
	// partBytes is the encoded size of a part in the value of an item.
	partBytes = 8
	// memory is how long a part is remembered after its last finding.
	memory = 15 * time.Minute
)

// Item returns the gossip item that carries a finding.
func (f Finding) Item() gossip.Item {
	i := gossip.Item{Stamp: f.Generation, TTLMS: memory.Milliseconds()}
	generation := strconv.FormatInt(f.Generation, 10)
	switch f.Kind {
	case KindCleared:
		// A newer item replaces an older one, as it clears all generations up to its own.
		generation = ""
	case KindTrial:
		i.TTLMS = trialTimeout.Milliseconds()
	case KindCrash:
	}
	i.Key = strings.Join([]string{itemKeyPrefix, formatPart(f.Part), string(f.Kind), generation, f.Subject}, "/")
	for _, other := range f.Others {
		i.Value = binary.BigEndian.AppendUint64(i.Value, other)
	}
	return i
}

// ParseItem returns the finding that a gossip item carries; ok is false if it carries
// none.
func ParseItem(i gossip.Item) (f Finding, ok bool) {
	fields := strings.SplitN(i.Key, "/", itemKeyFields)
	if len(fields) < itemKeyFields || fields[0] != itemKeyPrefix {
		return Finding{}, false
	}
	part, err := strconv.ParseUint(fields[1], 16, 64)
	f = Finding{Kind: Kind(fields[2]), Part: part, Generation: i.Stamp, Subject: fields[4]}
	known := f.Kind == KindCrash || f.Kind == KindTrial || f.Kind == KindCleared
	if err != nil || !known || (f.Subject == "") != (f.Kind == KindCleared) {
		return Finding{}, false
	}
	for other := range slices.Chunk(i.Value, partBytes) {
		if len(other) == partBytes {
			f.Others = append(f.Others, binary.BigEndian.Uint64(other))
		}
	}
	return f, true
}
