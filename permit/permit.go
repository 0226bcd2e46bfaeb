// Package permit allows non-idempotent requests to run at most once.
package permit
