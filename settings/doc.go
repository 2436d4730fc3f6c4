// Package settings reads a daemon's settings file.
//
// Settings are JSON. Unknown fields are refused, every field is checked, and
// all faults are reported at once, each with the path of its field. What is
// left out has a default; [Default] shows them all.
package settings
