// Package publication keeps the rule file in force on one host.
//
// A [Keeper] folds the platform's log, and takes newer files from peers, into
// one rule.Fold. Readers take the file in force without a lock. The keeper
// only ever moves to a newer version.
package publication
