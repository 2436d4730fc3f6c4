// Standin runs a stand-in for the platform, for a model engine or for plain
// services, for tests and demonstrations.
package main
