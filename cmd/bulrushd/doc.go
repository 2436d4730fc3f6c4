// Bulrushd is the daemon of an entry host.
package main
