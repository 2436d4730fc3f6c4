// Bulrushd is the daemon that runs on each entry host. Its command "host" runs an
// entry host on the users' platform (package hosted); "serve" runs one on a
// platform that speaks this project's own protocol, such as the stand-in (package
// daemon). "check" and "defaults" help to write the settings file of "serve".
package main
