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
	phase       Phase
	startedAt   time.Time
	balancerLag time.Duration
	gracePeriod time.Duration

	drainReserve time.Duration
	endReserve   time.Duration
}

// New returns a state machine in phase Serving.
func New(s Settings) *StateMachine {
	balancerLag := min(max(s.BalancerLag, 0), MaxBalancerLag)
	gracePeriod := MaxGracePeriod
	if s.GracePeriod > 0 {
		gracePeriod = min(max(s.GracePeriod, minGracePeriod), MaxGracePeriod)
	}
	drainReserve, endReserve := defaultDrainReserve, defaultEndReserve
	if s.DrainReserve > 0 {
		drainReserve = min(s.DrainReserve, gracePeriod)
	}
	if s.EndReserve > 0 {
		endReserve = s.EndReserve
	}
	return &StateMachine{state: table.NewGuarded(table.RankShutdown, state{
		balancerLag: balancerLag, gracePeriod: gracePeriod, drainReserve: drainReserve, endReserve: min(endReserve, drainReserve),
	})}
}

// Start starts the shutdown. Further calls have no effect.
func (m *StateMachine) Start(now time.Time) Step {
	return table.WithResult(m.state, func(s *state) Step {
		if s.phase != Serving {
			return s.newStep(now, nil)
		}
		s.phase = Announcing
		s.startedAt = now
		return s.newStep(now, []Action{ClearReadiness, AnnounceLeaving, StopIssuingPermits})
	})
}

// Advance enters as many phases as the progress and the time allow. The progress was read before the returned
// actions are performed and does not show their effect. After an action, a further phase is therefore entered in
// the same call only if the deadline of the current one has passed.
func (m *StateMachine) Advance(now time.Time, p Progress) Step {
	return table.WithResult(m.state, func(s *state) Step {
		var actions []Action
		for s.expired(now) || (len(actions) == 0 && s.finished(p)) {
			actions = append(actions, s.nextPhase(p)...)
		}
		return s.newStep(now, actions)
	})
}

// Phase returns the current phase.
func (m *StateMachine) Phase() Phase {
	return table.WithResult(m.state, func(s *state) Phase { return s.phase })
}

// expired reports whether the deadline of the phase has passed.
func (s *state) expired(now time.Time) bool {
	return s.phase != Serving && s.phase != Stopped && !now.Before(s.deadline())
}

// finished reports whether the phase has no work left to wait for.
func (s *state) finished(p Progress) bool {
	switch s.phase {
	case HandingOver:
		return p.RunningAtOwned <= 0 && p.PendingHandovers <= 0
	case Draining, EndingRequests:
		return p.OwnRequests <= 0
	case Closing:
		return p.Flushed
	default:
		return false
	}
}

// deadline returns the time at which the phase ends even if work is left.
func (s *state) deadline() time.Time {
	switch s.phase {
	case Announcing:
		return s.startedAt.Add(s.balancerLag)
	case HandingOver:
		return s.startedAt.Add(min(s.balancerLag+handoverTimeout, s.gracePeriod-s.drainReserve))
	case Draining:
		return s.startedAt.Add(s.gracePeriod - s.drainReserve)
	case EndingRequests:
		return s.startedAt.Add(s.gracePeriod - s.endReserve)
	default:
		return s.startedAt.Add(s.gracePeriod)
	}
}

// nextPhase enters the next phase and returns the actions of the transition.
func (s *state) nextPhase(p Progress) []Action {
	finished := s.finished(p)
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

func (s *state) newStep(now time.Time, actions []Action) Step {
	st := Step{Phase: s.phase, Actions: actions}
	if s.phase != Serving && s.phase != Stopped {
		st.NextCheck = now.Add(checkInterval)
		if deadline := s.deadline(); deadline.Before(st.NextCheck) {
			st.NextCheck = deadline
		}
	}
	return st
}
