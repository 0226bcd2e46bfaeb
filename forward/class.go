package forward

import (
	"time"

	"pistachioshore.dev/workload"
)

// requestClass is the class of a request with what is expected of it when it arrives.
type requestClass struct {
	workload.Class
	name string        // latency group of the class
	work time.Duration // expected work of one attempt
}

// classify returns the class of a request.
func (vm *VM) classify(route, method string, bodyBytes int) requestClass {
	c := workload.NewClass(route, method, bodyBytes)
	return requestClass{Class: c, name: c.String(), work: vm.work.Expect(c)}
}

// latencyGroup returns the latency group whose estimates apply to the class: its own once it has enough samples, and that
// of its route before.
func (vm *VM) latencyGroup(route string, c requestClass) string {
	if vm.latency.Learned(c.name) {
		return c.name
	}
	return route
}

// observeLatency records the time that an attempt took, and its work as far as it is known.
func (vm *VM) observeLatency(now time.Time, c requestClass, elapsed, work time.Duration) {
	vm.latency.Observe(now, c.Route, elapsed)
	vm.latency.Observe(now, c.name, elapsed)
	vm.work.Observe(now, c.Class, work)
}

// observeAtLeast records a lower bound of the time of an attempt that was given up. Its work is not learned, because most
// such attempts are those at slow upstreams.
func (vm *VM) observeAtLeast(now time.Time, c requestClass, elapsed time.Duration) {
	vm.latency.ObserveAtLeast(now, c.Route, elapsed)
	vm.latency.ObserveAtLeast(now, c.name, elapsed)
}

// ExpectedWork returns the expected work of the classes of requests that were observed most recently, at most n.
func (vm *VM) ExpectedWork(n int) []workload.Expectation {
	return vm.work.Recent(n)
}
