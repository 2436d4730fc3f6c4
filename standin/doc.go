// Package standin implements test servers for the system's external
// dependencies: the platform, model engines and plain services. Each is a real
// server that implements the minimum of its protocol, rather than a
// simulation. The servers record what they executed, so that tests can verify
// it, and inject faults on request.
package standin
