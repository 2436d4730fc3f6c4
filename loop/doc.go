// Package loop runs periodic background tasks until a context ends, and provides
// a sleep that ends with its context.
package loop
