package completion

import (
	"bulrushshed/engine"
)

// Verdict says what an event means for a request.
type Verdict string

// The verdicts of Accept.
const (
	// VerdictDeliver means that the event is the next token.
	VerdictDeliver Verdict = "deliver"
	// VerdictDrop means that the event belongs to another request or
	// attempt, or repeats a position.
	VerdictDrop Verdict = "drop"
	// VerdictFail means that the attempt can't go on.
	VerdictFail Verdict = "fail"
	// VerdictEnd means that the answer is whole.
	VerdictEnd Verdict = "end"
)

// Progress is how far one request has come. It is not safe for concurrent use.
type Progress struct {
	requestID string
	maxTokens int
	attempt   int
	// delivered are the tokens that the caller has, by position.
	delivered []string
}

// NewProgress returns the progress of a request before its first attempt.
func NewProgress(requestID string, maxTokens int) *Progress {
	return &Progress{requestID: requestID, maxTokens: maxTokens}
}

// Begin starts the next attempt and returns its number, which starts at 1.
func (p *Progress) Begin() int {
	p.attempt++
	return p.attempt
}

// Delivered returns the tokens that the caller has; it must not be changed.
func (p *Progress) Delivered() []string { return p.delivered }

// Accept judges one event. Only the live attempt's next position counts.
func (p *Progress) Accept(e engine.Event) Verdict {
	if e.RequestID != p.requestID || e.Attempt != p.attempt {
		return VerdictDrop
	}
	switch e.Kind {
	case engine.EventToken:
		return p.token(e)
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

func (p *Progress) token(e engine.Event) Verdict {
	switch {
	case e.Position < len(p.delivered):
		return VerdictDrop
	case e.Position > len(p.delivered) || len(p.delivered) == p.maxTokens:
		return VerdictFail
	}
	p.delivered = append(p.delivered, e.Token)
	return VerdictDeliver
}
