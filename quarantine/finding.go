package quarantine

import (
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"bulrushshed/gossip"
)

// Kind is the type of a Finding.
type Kind string

// The kinds of findings.
const (
	// KindCrash means that an engine crashed under a feature.
	KindCrash Kind = "crash"
	// KindCleared means that an answer to a request with a feature has succeeded.
	KindCleared Kind = "cleared"
	// KindTrial means that a request with a suspected feature is being tried.
	KindTrial Kind = "trial"
)

// Finding is what a host tells the others about a feature of requests.
type Finding struct {
	Kind    Kind
	Feature Feature
	// Generation is the one in which the crash or the trial occurred, or the last one
	// that is cleared.
	Generation int64
	// Subject identifies the incarnation of the engine that crashed, or the request
	// that is tried; empty for KindCleared.
	Subject string
	// Others are the other features that may have caused the crash.
	Others []Feature
	// Lasted is how long the feature was suspected, for KindCleared, and Hold how long it
	// is held, for KindCrash. They are not part of the item.
	Lasted time.Duration
	Hold   time.Duration
}

const (
	// itemKeyFields is the number of fields in a key, which are separated by slashes.
	// The last one, the subject, may have slashes of its own.
	itemKeyFields = 5
	// featureBytes is the encoded size of a feature in the value of an item: whether it
	// is a request as a whole, and its hash.
	featureBytes = 9
	// memory is how long a feature is remembered after its last finding, or after the end
	// of its hold if that is later.
	memory = 15 * time.Minute
)

// Item returns the gossip item that carries a finding.
func (f Finding) Item() gossip.Item {
	i := gossip.Item{Stamp: f.Generation, TTLMS: (f.Hold + memory).Milliseconds()}
	generation := strconv.FormatInt(f.Generation, 10)
	switch f.Kind {
	case KindCleared:
		// A newer item replaces an older one, as it clears all generations up to its own.
		generation = ""
	case KindTrial:
		i.TTLMS = trialTimeout.Milliseconds()
	case KindCrash:
	}
	i.Key = strings.Join([]string{f.Feature.String(), string(f.Kind), generation, f.Subject}, "/")
	for _, other := range f.Others {
		i.Value = append(i.Value, lo.Ternary[byte](other.Kind == FeatureRequest, 1, 0))
		i.Value = binary.BigEndian.AppendUint64(i.Value, other.Hash)
	}
	return i
}

// ParseItem returns the finding that a gossip item carries; ok is false if it carries
// none.
func ParseItem(i gossip.Item) (f Finding, ok bool) {
	fields := strings.SplitN(i.Key, "/", itemKeyFields)
	if len(fields) < itemKeyFields {
		return Finding{}, false
	}
	feature := Feature{Kind: FeatureKind(fields[0])}
	if feature.Kind != FeaturePart && feature.Kind != FeatureRequest {
		return Finding{}, false
	}
	var err error
	feature.Hash, err = strconv.ParseUint(fields[1], 16, 64)
	f = Finding{Kind: Kind(fields[2]), Feature: feature, Generation: i.Stamp, Subject: fields[4]}
	known := f.Kind == KindCrash || f.Kind == KindTrial || f.Kind == KindCleared
	if err != nil || !known || (f.Subject == "") != (f.Kind == KindCleared) {
		return Finding{}, false
	}
	for other := range slices.Chunk(i.Value, featureBytes) {
		if len(other) == featureBytes {
			kind := lo.Ternary(other[0] == 1, FeatureRequest, FeaturePart)
			f.Others = append(f.Others, Feature{Kind: kind, Hash: binary.BigEndian.Uint64(other[1:])})
		}
	}
	return f, true
}
