package ratelimit

import (
	"context"
	"errors"
)

// SingleHost is a Hosts for a host that works alone.
type SingleHost struct{}

var _ Hosts = SingleHost{}

var errSingleHost = errors.New("there is no other host")

// Responsible implements Hosts.
func (SingleHost) Responsible(string, int) []Host { return []Host{{Self: true}} }

// Ask implements Hosts.
func (SingleHost) Ask(context.Context, string, Question) (Permit, error) {
	return Permit{}, errSingleHost
}

// Size implements Hosts.
func (SingleHost) Size() int { return 1 }
