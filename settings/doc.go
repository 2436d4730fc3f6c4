// Package settings reads and validates the settings file of a daemon.
//
// The file is JSON. Unknown fields are rejected, every field is validated, and
// all invalid fields are reported at once, each with its path. [Default] and
// [DefaultHost] return the defaults of omitted fields.
package settings
