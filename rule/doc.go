// Package rule is the operators' rule file: its grammar, its faults, and the
// fold of published files into the one that is in force.
//
// A rule file is plain text with one rule a line. A rule is a verb, its
// key=value settings, and a comment that says who asked for it and why:
//
//	limit customer=puebla rate=40 burst=80 # M. Ortiz: dock tablets looped
//
// A [File] is frozen once parsed, so any number of readers share it without a
// lock. A [StateMachine] reads publications in log order and accepts one exactly when
// it was edited from the version then in force. Every host folds the same log
// and therefore accepts the same files, and a fold only ever moves forward.
package rule
