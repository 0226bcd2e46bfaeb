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

	newPolicy        func() balancer.Policy[string]
	hedgeBudget      *float64 // replaces the hedge budget of the routes that have one; nil keeps it
	waitForAllShards bool     // answers wait for every shard until the deadline
	wrapChooser      func(c vm.Chooser) vm.Chooser
}

// All returns all arms. The first, "chosen", uses the default policies of the tier.
func All() []Arm {
	noHedges, unlimitedHedges := 0.0, 1.0
	return []Arm{
		{Name: "chosen", Description: "outcome-based balancing, hedge budget, limited wait for stragglers"},
		{Name: "round-robin", Description: "round-robin balancing, no hedges", newPolicy: newRoundRobin, hedgeBudget: &noHedges},
		{Name: "round-robin-full", Description: "round-robin, waiting for every shard until the deadline", newPolicy: newRoundRobin, hedgeBudget: &noHedges, waitForAllShards: true},
		{Name: "no-faults", Description: "chosen, without the upstream faults of the scenario", SkipFaults: true},
		{Name: "two-choices", Description: "lower reported load of two random replicas, no hedges", newPolicy: newTwoChoices, hedgeBudget: &noHedges},
		{Name: "no-hedge", Description: "chosen, without hedges", hedgeBudget: &noHedges},
		{Name: "hedge-unbounded", Description: "chosen, with a hedge for every late shard", hedgeBudget: &unlimitedHedges},
		{Name: "no-queue-check", Description: "chosen, hedging also to servers with a reported queue", wrapChooser: ignoreQueues},
		{Name: "hedge-naive", Description: "unbounded hedges, also to servers with a reported queue", hedgeBudget: &unlimitedHedges, wrapChooser: ignoreQueues},
		{Name: "no-straggler-wait", Description: "chosen, waiting for every shard until the deadline", waitForAllShards: true},
		{Name: "no-canary-cache", Description: "chosen, with a new fingerprint for each request", UniqueFingerprints: true},
		{Name: "load-ejects", Description: "chosen, counting shed attempts as failures", newPolicy: newShedAsFailure},
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
func (a Arm) VMOptions(reportedLoad func(server string) int) []fx.Option {
	return []fx.Option{fx.Decorate(func(vm.Policies) vm.Policies {
		policy := balancer.Policy[string](outcome.New[string]())
		if a.newPolicy != nil {
			policy = a.newPolicy()
		}
		c := vm.Chooser(balancer.NewChooser(reportedLoadPolicy{policy, reportedLoad}, balancer.NewLatencyEstimator(balancer.DefaultLatencySettings())))
		if a.wrapChooser != nil {
			c = a.wrapChooser(c)
		}
		return vm.Policies{Chooser: c}
	})}
}

// AdjustConfig changes the hedge budgets and straggler waits of the routes as the arm requires.
func (a Arm) AdjustConfig(cfg *wire.Configuration) {
	cfg.Routes = slices.Clone(cfg.Routes) // the sample configurations share one slice
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if a.hedgeBudget != nil && r.HedgeBudget > 0 {
			r.HedgeBudget = *a.hedgeBudget
		}
		if a.waitForAllShards {
			r.StragglerWait = cmp.Or(r.Deadline, r.StragglerWait)
		}
	}
}

func newRoundRobin() balancer.Policy[string] { return roundrobin.New[string]() }

func newTwoChoices() balancer.Policy[string] { return twochoices.New[string]() }

func newShedAsFailure() balancer.Policy[string] { return shedAsFailurePolicy{outcome.New[string]()} }

func ignoreQueues(c vm.Chooser) vm.Chooser { return queueIgnoringChooser{c} }
