// Package quarantine keeps requests that crash upstreams from running again.
package quarantine
