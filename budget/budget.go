// Package budget bounds the work that a VM accepts, the attempts beyond the first, and the time of
// each hop.
package budget
