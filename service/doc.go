// Package service holds the messages between entry hosts and plain services,
// such as dispatch, stock and slots.
package service
