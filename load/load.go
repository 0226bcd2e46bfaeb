// Package load generates load and measures policies against each other.
package load
