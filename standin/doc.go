// Package standin implements test servers for the system's external
// dependencies: the platform ([Platform]), model engines ([Engine]) and replicas
// of plain services ([Service]). Each answers real requests over HTTP, but
// implements only the part of its protocol that the system uses; the times that
// an engine takes and its caches are simulated. The servers record what they
// executed, so that tests can verify it, and inject a [Fault] on request.
// [Listen] runs any of them, and [ServeNode] also announces an engine or a service
// to the platform.
package standin
