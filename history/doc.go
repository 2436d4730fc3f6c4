// Package history checks what happened against what must always hold. A
// history is what callers sent and were told, and what endpoints ran. The
// checks are few, and every test and the load tool use the same ones.
package history
