// Package budget limits the work that a VM accepts, the hedges and retries that it sends, and the time available to
// each hop.
package budget
