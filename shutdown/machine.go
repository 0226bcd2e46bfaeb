package shutdown

import (
	"time"

	"pistachioshore.dev/table"
)

// StateMachine runs through the phases of a shutdown. It returns each action once. The last one is Exit, which it
// returns within Settings.GracePeriod of the start if the VM calls Advance at each Step.NextCheck. It is safe for
// concurrent use.
type StateMachine struct {
	state *table.Guarded[state]
}

type state struct {
	phase   Phase
	started time.Time
	lag     time.Duration
	grace   time.Duration
}

// New returns a state machine in phase Serving.
func New(s Settings) *StateMachine {
	lag := min(max(s.BalancerLag, 0), MaxBalancerLag)
	grace := MaxGracePeriod
	if s.GracePeriod > 0 {
		grace = min(max(s.GracePeriod, minGrace), MaxGracePeriod)
	}
	return &StateMachine{state: table.NewGuarded(table.RankShutdown, state{lag: lag, grace: grace})}
}

// Start starts the shutdown. Further calls have no effect.
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

// Advance enters as many phases as the progress and the time allow. The progress was read before the returned
// actions are performed and does not show their effect. After an action, a further phase is therefore entered in
// the same call only if the deadline of the current one has passed.
func (m *StateMachine) Advance(now time.Time, in Progress) Step {
	return table.WithResult(m.state, func(s *state) Step {
		var actions []Action
		for s.late(now) || (len(actions) == 0 && s.finished(in)) {
			actions = append(actions, s.leave(in)...)
		}
		return s.step(now, actions)
	})
}

// Phase returns the current phase.
func (m *StateMachine) Phase() Phase {
	return table.WithResult(m.state, func(s *state) Phase { return s.phase })
}

// expired reports whether the deadline of the phase has passed.
func (s *state) late(now time.Time) bool {
	return s.phase != Serving && s.phase != Stopped && !now.Before(s.bound())
}

// finished reports whether the phase has no work left to wait for.
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

// deadline returns the time at which the phase ends even if work is left.
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

// nextPhase enters the next phase and returns the actions of the transition.
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
