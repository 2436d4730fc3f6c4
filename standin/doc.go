// Package standin holds small stand-ins for what the system runs beside: the
// platform, model engines and plain services. They keep the history that the
// checks read, and can be told to fail. They are no simulator: each is a real
// server that does the least that its protocol asks for.
package standin
