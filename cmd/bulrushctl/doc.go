// Bulrushctl is the operators' command line: it checks and publishes rule
// files, shows what hosts know, makes key material and drives load.
package main
