// Bulrushctl is the command-line tool for operators. It checks and publishes rule
// files, shows the state of hosts, creates keys and certificates, and generates
// load.
//
// Rule files are read from and published to the platform's log; the state of a
// host comes from its operator API. The exit code tells the kinds of failure
// apart.
package main
