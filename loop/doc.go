// Package loop runs periodic background tasks.
package loop
