// Bulrushd is the daemon that runs on each entry host. Its command "host" runs an
// entry host on the users' platform (package hosted); "serve" runs one on the
// platform of this project's own protocol (package daemon), such as the stand-in.
// "check" and "defaults" help to write the settings file of "serve".
package main
