package platform

import "net/http"

type options struct {
	gate func(r *http.Request) bool
}

// Option changes a setting of a platform.
type Option func(o *options)

// WithReachable sets which reads can reach the platform; the others end without a response. It is asked
// again when a watch ends, so that a partition that began meanwhile holds back the answer.
func WithReachable(gate func(r *http.Request) bool) Option {
	return func(o *options) { o.gate = gate }
}
