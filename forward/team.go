package forward

import (
	"fmt"
	"time"

	"pistachioshore.dev/freshness"
	"pistachioshore.dev/quota"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
	"pistachioshore.dev/team"
)

// unconfirmedRetryAfter is the time after which a client may return whose key this VM cannot confirm at the moment. Another
// VM answers a question about it within a few milliseconds.
const unconfirmedRetryAfter = 100 * time.Millisecond

// teams decides on behalf of which team a request may run.
type teams struct {
	freshness *freshness.Table
	quotas    *quota.Table
	bootClock func() time.Duration

	onAdmitted    func() // called when a request was counted against a quota; must not block
	onUnconfirmed func() // called when a request was refused because the configuration may be out of date; must not block
}

func newTeams(s Settings) *teams {
	clock := s.BootClock
	if clock == nil {
		started := time.Now()
		clock = func() time.Duration { return time.Since(started) }
	}
	return &teams{
		freshness: freshness.New(freshness.Settings{Bound: s.RevocationBound}), quotas: quota.New(s.Quota), bootClock: clock,
		onAdmitted: func() {}, onUnconfirmed: func() {},
	}
}

// Freshness returns the proofs that this VM knows of all withdrawn API keys.
func (vm *VM) Freshness() *freshness.Table {
	return vm.teams.freshness
}

// Quotas returns the quotas of the teams.
func (vm *VM) Quotas() *quota.Table {
	return vm.teams.quotas
}

// OnAdmitted sets the function to call when a request was counted against the quota of its team. It must not block.
func (vm *VM) OnAdmitted(notify func()) {
	vm.teams.onAdmitted = notify
}

// OnUnconfirmed sets the function to call when a request was refused because the configuration may be out of date. It must
// not block.
func (vm *VM) OnUnconfirmed(notify func()) {
	vm.teams.onUnconfirmed = notify
}

// Authorize decides whether a client's request may be read and served: the configuration has a route for it, and the
// request has the API key of a team that has not used up its quota. It sets the request's team and the team's priority, or returns the
// answer and false. It needs neither the body nor a slot, so that a refused request costs little.
func (vm *VM) Authorize(req *Request) (Answer, bool) {
	cfg, denied := vm.config(req)
	if denied.code != 0 {
		return vm.refuse(req, nil, 0, denied), false
	}
	r, ok := cfg.Match(req.Host, req.Path)
	if !ok {
		return vm.refuse(req, nil, cfg.Version, unknownRoute), false
	}
	if cfg.Teams == nil {
		return Answer{}, true
	}
	if denied := vm.authorizeTeam(req, cfg, r); denied.code != 0 {
		a := vm.refuse(req, r, cfg.Version, denied)
		vm.stats.recordTeam(denied.code, priorityOf(req, r))
		return a, false
	}
	vm.stats.recordTeam(result.Complete, priorityOf(req, r))
	return Answer{}, true
}

// unknownRoute refuses a request for which the configuration has no route.
var unknownRoute = refusal{code: result.UnknownRoute, reason: "no route for host and path"}

// authorizeTeam identifies the team of a request and counts the request against its quota.
func (vm *VM) authorizeTeam(req *Request, cfg *route.Config, r *route.Route) refusal {
	t := cfg.Teams.Lookup(req.Key)
	if r.Public {
		if t != nil {
			req.Team = t.Name
		}
		return refusal{}
	}
	if denied := vm.confirm(); denied.code != 0 {
		return denied
	}
	if t == nil {
		return rejectedKey(req.Key)
	}
	req.Team, req.Priority = t.Name, t.Priority
	if !t.Quota.Limited() {
		return refusal{}
	}
	ok, retry := vm.teams.quotas.Admit(time.Now(), t.Name, t.Quota)
	if !ok {
		reason := fmt.Sprintf("quota of %g requests a second and a burst of %g is used up", t.Quota.Rate, t.Quota.Burst)
		return refusal{code: result.QuotaExceeded, reason: reason, retryAfter: retry}
	}
	req.charged = true
	vm.teams.onAdmitted()
	return refusal{}
}

func rejectedKey(k team.Key) refusal {
	if k.IsZero() {
		return refusal{code: result.KeyRejected, reason: "no API key"}
	}
	return refusal{code: result.KeyRejected, reason: "the API key belongs to no team"}
}

// confirm refuses requests with a key unless the configuration is known to hold all keys that were withdrawn in time.
func (vm *VM) confirm() refusal {
	t := vm.teams
	if !t.freshness.Required() {
		return refusal{}
	}
	now := t.bootClock()
	if t.freshness.Current(now) {
		return refusal{}
	}
	t.onUnconfirmed()
	reason := "the configuration was never confirmed"
	if age, ok := t.freshness.Age(now); ok {
		reason = fmt.Sprintf("the configuration was last confirmed %v ago", age)
	}
	return refusal{code: result.ConfigUnconfirmed, reason: reason, retryAfter: unconfirmedRetryAfter}
}

// recheckTeam refuses a request whose key was withdrawn since it was authorized, which may be long ago if its body came
// slowly, or for which the route has come to need a key. A part of another VM's query has no key; it is refused if its team
// is gone, or if this VM cannot confirm its configuration, so that the other VM turns to another one.
func (vm *VM) recheckTeam(req *Request, cfg *route.Config, r *route.Route) refusal {
	if cfg.Teams == nil || r.Public {
		return refusal{}
	}
	if !req.Relayed && req.Team == "" {
		return rejectedKey(req.Key)
	}
	if vm.teamWithdrawn(req) {
		return refusal{code: result.KeyRejected, reason: "the API key was withdrawn"}
	}
	denied := vm.confirm()
	if denied.code != 0 && req.Relayed {
		return refusal{code: result.NotReady, reason: "the configuration cannot be confirmed"}
	}
	return denied
}

// teamWithdrawn reports whether the configuration in force no longer has the key of the request, or for a relayed one its
// team.
func (vm *VM) teamWithdrawn(req *Request) bool {
	if req.Team == "" {
		return false
	}
	cfg := vm.routes.Current()
	switch {
	case cfg == nil || cfg.Teams == nil:
		return false
	case req.Relayed:
		return cfg.Teams.Named(req.Team) == nil
	default:
		return !cfg.Teams.Holds(req.Team, req.Key)
	}
}

// ReturnQuota takes back the count of an authorized request that is not served after all.
func (vm *VM) ReturnQuota(req *Request) {
	if req.charged {
		req.charged = false
		vm.teams.quotas.Return(time.Now(), req.Team)
	}
}

// returnRefused takes back the count of a request that was refused. That of a client that has left may have run.
func (vm *VM) returnRefused(req *Request, a Answer) {
	if a.Code.Effect() == result.NotRun && a.Code != result.Cancelled {
		vm.ReturnQuota(req)
	}
}
