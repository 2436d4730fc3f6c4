// Bulrushd is the daemon that runs on each entry host.
package main
