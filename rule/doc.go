// Package rule implements the operators' rule file: its grammar, the reporting
// of its errors, and the state machine that determines the active file from the
// log of publications.
//
// A rule file is plain text with one rule per line. A rule consists of a verb,
// key=value settings, and a comment that states who requested it and why:
//
//	limit customer=puebla rate=40 burst=80 # M. Ortiz: dock tablets looped
//
// A [File] is immutable once parsed, so it can be read concurrently without a
// lock. A [StateMachine] applies publications in log order and accepts one if
// and only if it is based on the version that is active at that point. Every
// host applies the same log and therefore accepts the same files. The active
// version never decreases. [Delta] encodes a file as an edit of an earlier one,
// for hosts that have that, and [Diff] shows the difference to operators.
//
// Reading the log is left to package publication, and enforcing the rules to
// the packages that handle requests.
package rule
