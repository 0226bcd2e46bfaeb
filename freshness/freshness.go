// Package freshness tracks as of when the configuration of a VM is known to be current.
//
// A withdrawn API key must not be used on any VM later than a fixed time after its withdrawal, also on one that is cut off
// from the platform. Each VM therefore serves requests with a key only while it can prove that it knows all changes up to
// a recent moment. A proof is always a question with its answer, and holds as of the time at which the question was asked:
// the time at which the answer was formed is not known, since a link can hold it back. Times are readings of the VM's boot
// clock, which goes on while the VM is suspended and does not follow the time of day.
package freshness

import (
	"time"

	"pistachioshore.dev/table"
)

// Settings are the bounds on the use of withdrawn keys.
type Settings struct {
	// Bound is the longest time after the withdrawal of a key in which a request may still use it; 0 if withdrawals have
	// no bound, so that the configuration counts as current for ever.
	Bound time.Duration
}

const (
	// margin is subtracted from the bound for the drift between the clocks of VMs and store.
	margin = 250 * time.Millisecond

	// followerAskAge and readerAskAge are the ages from which on a VM asks another one for a new proof. One that reads the
	// store renews its proof by itself about once a second. Two questions in a row can be lost before the bound of 5 s that
	// the platform sets is reached.
	followerAskAge = 800 * time.Millisecond
	readerAskAge   = 1500 * time.Millisecond

	// readAge is the age from which on a VM that reads the store does so again, and followerReadAge that from which on a VM
	// that follows others reads it too, since they may have lost it.
	readAge         = 900 * time.Millisecond
	followerReadAge = 2500 * time.Millisecond

	// answerTimeout is the time within which another VM has to answer. A VM that has used up its share of the processor
	// stands still for most of 100 ms.
	answerTimeout = 400 * time.Millisecond

	// maxQuestions bounds the questions that wait for an answer.
	maxQuestions = 16
)

// Table holds the latest proof of a VM and its open questions. It is safe for concurrent use.
type Table struct {
	settings Settings
	state    *table.Guarded[state]
}

type state struct {
	proved    bool
	asOf      time.Duration // time of the latest proof
	sequence  uint64
	questions []question // oldest first
	rotation  int        // position in the list of VMs to ask
}

// question is a question to another VM that waits for its answer.
type question struct {
	sequence uint64
	askedAt  time.Duration
}

// New returns a table without a proof.
func New(s Settings) *Table {
	return &Table{settings: s, state: table.NewGuarded(table.RankPending, state{})}
}

// Required reports whether requests with a key need a proof.
func (t *Table) Required() bool {
	return t.settings.Bound > 0
}

// Confirm records that the configuration includes all changes up to a time.
func (t *Table) Confirm(asOf time.Duration) {
	t.state.With(func(s *state) { s.confirm(asOf) })
}

func (s *state) confirm(asOf time.Duration) {
	if !s.proved || asOf > s.asOf {
		s.proved, s.asOf = true, asOf
	}
}

// Age returns the age of the latest proof, or false if there is none.
func (t *Table) Age(now time.Duration) (time.Duration, bool) {
	return table.WithResults(t.state, func(s *state) (time.Duration, bool) { return max(now-s.asOf, 0), s.proved })
}

// Current reports whether requests with a key may be served: the proof is younger than the bound, or none is required.
func (t *Table) Current(now time.Duration) bool {
	if !t.Required() {
		return true
	}
	age, proved := t.Age(now)
	return proved && age <= t.settings.Bound-margin
}

// ShouldRead reports whether the VM should read the store to renew its proof. follows tells whether it takes the platform's
// state from other VMs.
func (t *Table) ShouldRead(now time.Duration, follows bool) bool {
	limit := readAge
	if follows {
		limit = followerReadAge
	}
	age, proved := t.Age(now)
	return t.Required() && (!proved || age >= limit)
}

// Ask returns the number of a question to send, and the position of the VM to send it to among n VMs in order of preference.
// It returns false if no new proof is needed yet, or a question still waits for its answer. follows tells whether the VM
// takes the platform's state from other VMs.
func (t *Table) Ask(now time.Duration, follows bool, n int) (sequence uint64, to int, ok bool) {
	limit := readerAskAge
	if follows {
		limit = followerAskAge
	}
	t.state.With(func(s *state) {
		if n == 0 || (s.proved && now-s.asOf < limit) {
			return
		}
		if last := len(s.questions) - 1; last >= 0 {
			if now-s.questions[last].askedAt < answerTimeout {
				return
			}
			s.rotation++ // the VM that was asked last has not answered
		}
		s.sequence++
		s.questions = append(s.questions, question{s.sequence, now})
		if len(s.questions) > maxQuestions {
			s.questions = s.questions[1:]
		}
		sequence, to, ok = s.sequence, s.rotation%n, true
	})
	return sequence, to, ok
}

// Answer records the answer to a question: the VM that was asked knew all changes up to the given age before its answer. complete
// tells whether this VM has all changes that the other one had. Without them the answer proves nothing yet.
func (t *Table) Answer(sequence uint64, age time.Duration, complete bool) {
	t.state.With(func(s *state) {
		for i, q := range s.questions {
			if q.sequence != sequence {
				continue
			}
			s.questions = s.questions[i+1:] // an older question is of no more use
			if complete && age >= 0 {
				s.confirm(q.askedAt - age)
			}
			if age >= readerAskAge {
				s.rotation++ // that VM has lost the store itself; another one may know more
			}
			return
		}
	})
}
