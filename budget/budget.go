// Package budget limits the work that a VM accepts, the hedges and retries that it sends, and the time available to
// each hop.
//
// Hedges and retries are paid for with tokens. Each primary sub-request, which is the first attempt at a shard, earns a
// fraction of a token.
package budget
