// Package service defines the calls that entry hosts make to plain services,
// such as dispatch, stock and slots.
package service
