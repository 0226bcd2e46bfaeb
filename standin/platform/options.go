package platform

import "net/http"

type options struct {
	reachable func(r *http.Request) bool
}

// Option changes a setting of a platform.
type Option func(o *options)

// WithReachable sets which reads can reach the platform; the connections of the others are closed without a
// response. It is checked again when a watch ends, so that a partition that began during the watch also
// blocks its response.
func WithReachable(reachable func(r *http.Request) bool) Option {
	return func(o *options) { o.reachable = reachable }
}
