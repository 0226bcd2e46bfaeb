// Package audit compares answers with what the upstreams counted.
package audit
