package quarantine

import (
	"strconv"

	"github.com/samber/lo"
)

// FeatureKind is the type of a Feature. It begins the keys of gossip items.
type FeatureKind string

// The kinds of features.
const (
	// FeaturePart is a part of a prompt, which other requests may have, too.
	FeaturePart FeatureKind = "part"
	// FeatureRequest is a request as a whole, which may come again.
	FeatureRequest FeatureKind = "request"
)

// Feature is something about a request that may crash the replicas that run it.
type Feature struct {
	Kind FeatureKind
	// Hash identifies the part, or is the fingerprint of the request.
	Hash uint64
}

// String formats the feature for a log line or a key.
func (f Feature) String() string { return string(f.Kind) + "/" + strconv.FormatUint(f.Hash, 16) }

// Features returns the features of a request: the shared parts of its prompt, and its
// fingerprint.
func Features(parts []uint64, fingerprint uint64) []Feature {
	all := lo.Map(parts, func(part uint64, _ int) Feature { return Feature{Kind: FeaturePart, Hash: part} })
	return append(all, Feature{Kind: FeatureRequest, Hash: fingerprint})
}
