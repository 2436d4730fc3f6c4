// Standin runs the stand-ins of the platform, of model engines and of plain
// services, each as a process of its own.
package main
