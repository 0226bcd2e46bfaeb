package shutdown

import (
	"time"

	"pistachioshore.dev/table"
)

// StateMachine goes through the phases of one shutdown; it is safe for concurrent use. Each action is
// returned once. The last one is Exit, at most Settings.Grace after the start if the VM looks when told to.
type StateMachine struct {
	state *table.Guarded[state]
}

type state struct {
	phase   Phase
	started time.Time
	lag     time.Duration
	grace   time.Duration
}

// New returns a machine in the phase Serving.
func New(s Settings) *StateMachine {
	lag := min(max(s.BalancerLag, 0), MaxBalancerLag)
	grace := MaxGracePeriod
	if s.GracePeriod > 0 {
		grace = min(max(s.GracePeriod, minGrace), MaxGracePeriod)
	}
	return &StateMachine{state: table.NewGuarded(table.RankShutdown, state{lag: lag, grace: grace})}
}

// Start begins the shutdown; a second call does nothing.
func (m *StateMachine) Start(now time.Time) Step {
	return table.WithResult(m.state, func(s *state) Step {
		if s.phase != Serving {
			return s.step(now, nil)
		}
		s.phase = Announcing
		s.started = now
		return s.step(now, []Action{ClearReadiness, AnnounceLeaving, StopIssuingPermits})
	})
}

// Advance goes on as far as the inputs and the time allow. Inputs that were read before an action was
// taken do not show its effect, so after an action only a bound ends the next phase at once.
func (m *StateMachine) Advance(now time.Time, in Progress) Step {
	return table.WithResult(m.state, func(s *state) Step {
		var actions []Action
		for s.late(now) || (len(actions) == 0 && s.finished(in)) {
			actions = append(actions, s.leave(in)...)
		}
		return s.step(now, actions)
	})
}

// Phase returns the phase reached.
func (m *StateMachine) Phase() Phase {
	return table.WithResult(m.state, func(s *state) Phase { return s.phase })
}

// late reports whether the time of the phase is over.
func (s *state) late(now time.Time) bool {
	return s.phase != Serving && s.phase != Stopped && !now.Before(s.bound())
}

// finished reports whether the phase has nothing left to wait for.
func (s *state) finished(in Progress) bool {
	switch s.phase {
	case HandingOver:
		return in.RunningAtOwned <= 0 && in.PendingHandovers <= 0
	case Draining, EndingRequests:
		return in.OwnRequests <= 0
	case Closing:
		return in.Flushed
	default:
		return false
	}
}

// bound returns the time at which the phase ends whatever is left.
func (s *state) bound() time.Time {
	switch s.phase {
	case Announcing:
		return s.started.Add(s.lag)
	case HandingOver:
		return s.started.Add(min(s.lag+handOverFor, s.grace-drainBefore))
	case Draining:
		return s.started.Add(s.grace - drainBefore)
	case EndingRequests:
		return s.started.Add(s.grace - endBefore)
	default:
		return s.started.Add(s.grace)
	}
}

// leave enters the next phase and returns what is done between the two.
func (s *state) leave(in Progress) []Action {
	finished := s.finished(in)
	s.phase++
	switch s.phase {
	case HandingOver:
		return []Action{RefuseRequests, HandOverUpstreams}
	case Draining:
		if !finished {
			return []Action{ForceHandover}
		}
	case EndingRequests:
		if !finished {
			return []Action{EndOwnRequests}
		}
	case Closing:
		return []Action{RevokePermits, ClosePeers, FlushTelemetry}
	case Stopped:
		return []Action{Exit}
	}
	return nil
}

func (s *state) step(now time.Time, actions []Action) Step {
	st := Step{Phase: s.phase, Actions: actions}
	if s.phase != Serving && s.phase != Stopped {
		st.NextCheck = now.Add(lookEvery)
		if bound := s.bound(); bound.Before(st.NextCheck) {
			st.NextCheck = bound
		}
	}
	return st
}
