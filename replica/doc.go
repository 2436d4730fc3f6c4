// Package replica decides which replicas of a service may be sent work.
//
// A [List] folds the entries that replicas write about themselves and answers
// with a frozen [View]. A [Picker] chooses among the replicas of a plain
// service by own work, and by what became of earlier requests.
package replica
