// Package loop runs what has to be done again and again in the background.
package loop
