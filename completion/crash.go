package completion

import (
	"context"
	"math/bits"
	"time"

	"bulrushshed/engine"
	"bulrushshed/outcome"
	"bulrushshed/quarantine"
	"bulrushshed/route"
)

// firstBlocks is the number of blocks at the start of a prompt that are all parts of it.
const firstBlocks = 8

// promptParts returns the parts of a prompt that other requests may share: hashes of the
// prompt up to the end of its first blocks, and of each block whose number is a power of
// two. So prompts that share a beginning share parts, and their number grows with the
// logarithm of the length.
func promptParts(prompt string) []uint64 {
	var parts []uint64
	for i, hash := range engine.BlockHashes(prompt) {
		if n := uint(i + 1); n <= firstBlocks || bits.OnesCount(n) == 1 {
			parts = append(parts, hash)
		}
	}
	return parts
}

// features returns all by which a request may crash engines.
func features(req Request) []quarantine.Feature {
	c := quarantine.Call{Customer: req.Customer, Target: req.Model.Name, Body: []byte(req.Prompt)}
	return quarantine.Features(promptParts(req.Prompt), c.Fingerprint())
}

// checkQuarantine returns the error of a request that may crash engines.
func (x *run) checkQuarantine(mayHaveRun bool) error {
	d := x.Quarantine.Admit(x.req.ID, x.features, time.Now())
	if d.Admitted {
		return nil
	}
	return &outcome.Error{
		Op: "complete", Kind: outcomeKind(mayHaveRun), Cause: outcome.CauseQuarantined, RetryAfter: d.ReturnAfter(),
		Message: "engines crashed when they began to answer this request, or prompts with the same beginning",
	}
}

// observeCrash records a crash if an attempt failed at the beginning of its answer, and
// the engine of its first hop, which receives the prompt, does not answer a probe.
func (x *run) observeCrash(ctx context.Context, rt route.Route, f *failure) {
	if f == nil || !f.mayHaveRun || ctx.Err() != nil || !x.observed.AtBeginning() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, x.opts.ProbeTimeout)
	defer cancel()
	first := rt.Hops[0]
	if x.Engines.Probe(ctx, first.Address) != nil {
		x.observed.RecordCrash(first.EngineIncarnation(), time.Now())
	}
}
