package workload

import "time"

const (
	// defaultWork is the expected work of a request before the first observation of its route.
	defaultWork = 10 * time.Millisecond

	// halfLife is the time in which the weight of the past observations halves.
	halfLife = 10 * time.Second

	// maxWeight bounds the weight of the past, so that one new observation moves the estimate by at least a 33rd.
	maxWeight = 32.0

	// minDecayedWeight is the weight at which observations stop being forgotten with time. A rare class keeps its
	// estimate, which a few new observations displace.
	minDecayedWeight = 2.0

	// minSamples is the number of observations from which a class no longer resembles its route, which has the weight of
	// routeWeight observations before.
	minSamples  = 8
	routeWeight = 4.0

	// maxSampleRatio bounds an observation by a multiple of the estimate. Higher times are mostly those of a slow upstream and
	// not of the request: with a bound of 6, a seventh of the upstreams at nine times the usual doubled the estimates, so
	// that slow upstreams stood out less.
	maxSampleRatio = 2.0

	// maxClasses limits the classes that are remembered, those of whole routes included. Each takes 150 bytes.
	maxClasses = 512
)
