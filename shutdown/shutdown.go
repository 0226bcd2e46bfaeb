// Package shutdown orders the steps of a graceful shutdown.
package shutdown
