// Package arm defines the sets of policies that an experiment compares.
package arm

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/balancer/outcome"
	"pistachioshore.dev/balancer/roundrobin"
	"pistachioshore.dev/balancer/twochoices"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/wire"
)

// Arm is a set of policies under comparison.
type Arm struct {
	Name               string
	Description        string
	UniqueFingerprints bool // each request has its own fingerprint, so that no verdict is cached
	SkipFaults         bool // leaves out the scenario's upstream faults, as a baseline for runs with them

	policy  func() balancer.Policy[string]
	hedge   *float64 // replaces the hedge budget of the routes that have one; nil keeps it
	waitAll bool     // answers wait for every shard until the deadline
	wrap    func(c vm.Chooser) vm.Chooser
}

// All returns all arms. The first, "chosen", uses the policies that the tier uses by default.
func All() []Arm {
	none, all := 0.0, 1.0
	return []Arm{
		{Name: "chosen", Description: "outcome-based balancing, hedge budget, limited wait for stragglers"},
		{Name: "round-robin", Description: "round-robin balancing, no hedges", policy: inTurn, hedge: &none},
		{Name: "round-robin-full", Description: "round-robin, waiting for every shard until the deadline", policy: inTurn, hedge: &none, waitAll: true},
		{Name: "no-faults", Description: "chosen, without the upstream faults of the scenario", SkipFaults: true},
		{Name: "two-choices", Description: "lower reported load of two random replicas, no hedges", policy: lowerLoad, hedge: &none},
		{Name: "no-hedge", Description: "chosen, without hedges", hedge: &none},
		{Name: "hedge-unbounded", Description: "chosen, with a hedge for every late shard", hedge: &all},
		{Name: "no-queue-check", Description: "chosen, hedging also to servers with a reported queue", wrap: withoutQueues},
		{Name: "hedge-naive", Description: "unbounded hedges, also to servers with a reported queue", hedge: &all, wrap: withoutQueues},
		{Name: "no-straggler-wait", Description: "chosen, waiting for every shard until the deadline", waitAll: true},
		{Name: "no-canary-cache", Description: "chosen, with a new fingerprint for each request", UniqueFingerprints: true},
		{Name: "load-ejects", Description: "chosen, counting shed attempts as failures", policy: loadEjects},
	}
}

// Find returns the arm with the given name.
func Find(name string) (Arm, error) {
	all := All()
	i := slices.IndexFunc(all, func(a Arm) bool { return a.Name == name })
	if i >= 0 {
		return all[i], nil
	}
	var names []string
	for _, a := range all {
		names = append(names, a.Name)
	}
	return Arm{}, errors.Newf("unknown arm %q, allowed: %s", name, strings.Join(names, ", "))
}

// VMOptions returns the options that replace the policies of a VM. reportedLoad returns the load that a server
// last reported.
func (a Arm) VMOptions(loads func(server string) int) []fx.Option {
	return []fx.Option{fx.Decorate(func(vm.Policies) vm.Policies {
		policy := balancer.Policy[string](outcome.New[string]())
		if a.policy != nil {
			policy = a.policy()
		}
		c := vm.Chooser(balancer.NewChooser(reported{policy, loads}, balancer.NewLatencyEstimator(balancer.DefaultLatencySettings())))
		if a.wrap != nil {
			c = a.wrap(c)
		}
		return vm.Policies{Chooser: c}
	})}
}

// AdjustConfig changes the hedge budgets and straggler waits of the routes as the arm requires.
func (a Arm) AdjustConfig(cfg *wire.Configuration) {
	cfg.Routes = slices.Clone(cfg.Routes) // the sample configurations share one list
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if a.hedge != nil && r.HedgeBudget > 0 {
			r.HedgeBudget = *a.hedge
		}
		if a.waitAll {
			r.StragglerWait = cmp.Or(r.Deadline, r.StragglerWait)
		}
	}
}

func inTurn() balancer.Policy[string] { return roundrobin.New[string]() }

func lowerLoad() balancer.Policy[string] { return twochoices.New[string]() }

func loadEjects() balancer.Policy[string] { return strict{outcome.New[string]()} }

func withoutQueues(c vm.Chooser) vm.Chooser { return unqueued{c} }
