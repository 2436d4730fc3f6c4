// Standin runs a stand-in for the platform, for a model engine or for plain
// services, which run no model. It is meant for tests and demonstrations.
package main
