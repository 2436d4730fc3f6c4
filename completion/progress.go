package completion

import (
	"bulrushshed/engine"
)

// Verdict is the effect of an event on a request.
type Verdict string

// The verdicts of Accept.
const (
	// VerdictDeliver means that the event is the next token.
	VerdictDeliver Verdict = "deliver"
	// VerdictDrop means that the event belongs to another request or
	// attempt, or repeats a position.
	VerdictDrop Verdict = "drop"
	// VerdictFail means that the attempt can't continue.
	VerdictFail Verdict = "fail"
	// VerdictEnd means that the answer is complete.
	VerdictEnd Verdict = "end"
)

// Progress is the state of one request. It is not safe for concurrent use.
type Progress struct {
	requestID string
	maxTokens int
	attempt   int
	// delivered are the tokens that the caller has received, by position.
	delivered []string
}

// NewProgress returns the progress of a request before its first attempt.
func NewProgress(requestID string, maxTokens int) *Progress {
	return &Progress{requestID: requestID, maxTokens: maxTokens}
}

// BeginAttempt starts the next attempt and returns its number, which starts at 1.
func (p *Progress) BeginAttempt() int {
	p.attempt++
	return p.attempt
}

// Delivered returns the tokens that the caller has received. The caller of
// Delivered must not modify them.
func (p *Progress) Delivered() []string { return p.delivered }

// Accept classifies an event, and appends its token if it is the next one of the
// current attempt.
func (p *Progress) Accept(e engine.Event) Verdict {
	if e.RequestID != p.requestID || e.Attempt != p.attempt {
		return VerdictDrop
	}
	switch e.Kind {
	case engine.EventToken:
		return p.acceptToken(e)
	case engine.EventEnd:
		if e.Position != len(p.delivered) || len(p.delivered) != p.maxTokens {
			return VerdictFail
		}
		return VerdictEnd
	case engine.EventError:
		return VerdictFail
	}
	return VerdictFail
}

func (p *Progress) acceptToken(e engine.Event) Verdict {
	switch {
	case e.Position < len(p.delivered):
		return VerdictDrop
	case e.Position > len(p.delivered) || len(p.delivered) == p.maxTokens:
		return VerdictFail
	}
	p.delivered = append(p.delivered, e.Token)
	return VerdictDeliver
}
