// Package settings reads and validates the settings file of a daemon.
//
// There are two kinds of files. [Load] reads the [Settings] of package daemon,
// whose platform speaks this project's own protocol. [LoadHost] reads those of
// package daemon/hosted, which runs on the users' platform, as a [Host].
// [Default] and [DefaultHost] return the defaults of omitted fields.
//
// The files are JSON. Unknown fields are rejected, every field is validated, and
// all invalid fields are reported at once in an [Error], each with its path.
// Applying the settings is left to the daemons, except that [Log] makes the
// logger.
package settings
