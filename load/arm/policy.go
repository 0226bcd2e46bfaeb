package arm

import (
	"time"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/entry/vm"
)

// reportedLoadPolicy sets ReportedLoad in each observation. The entry VM leaves the field empty, so that policies
// could not use reported load without this wrapper.
type reportedLoadPolicy struct {
	balancer.Policy[string]
	reportedLoad func(server string) int
}

// Observe records the observation with the load that the server reported.
func (p reportedLoadPolicy) Observe(now time.Time, server string, o balancer.Observation) {
	o.ReportedLoad = p.reportedLoad(server)
	p.Policy.Observe(now, server, o)
}

// shedAsFailurePolicy counts shed attempts as failures, so that load can cause the ejection of a replica.
type shedAsFailurePolicy struct {
	balancer.Policy[string]
}

// Observe records a shed attempt as a failed one.
func (p shedAsFailurePolicy) Observe(now time.Time, server string, o balancer.Observation) {
	o.Shed = false
	p.Policy.Observe(now, server, o)
}

// queueIgnoringChooser reports that no server has a queue, so that hedges are also sent to replicas of a busy
// service.
type queueIgnoringChooser struct {
	vm.Chooser
}

// HasQueue returns false for every server.
func (queueIgnoringChooser) HasQueue(string) bool {
	return false
}
