// Bulrushctl is the command-line tool for operators. It checks and publishes rule
// files, shows the state of hosts, creates keys and certificates, and generates
// load.
package main
