package telemetry

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"pistachioshore.dev/result"
)

// Counters counts the events of the tier; its methods may be called by several goroutines.
type Counters struct {
	answers             codeCounters
	refusals            codeCounters
	configRefused       codeCounters
	subRequests         tally.Counter
	hedges              tally.Counter
	retries             tally.Counter
	partsDropped        tally.Counter
	crashesSuspected    tally.Counter
	ownershipGained     tally.Counter
	ownershipLost       tally.Counter
	connectionsReplaced tally.Counter
	readsFailed         tally.Counter
	pauses              tally.Counter
	pausedMilliseconds  tally.Counter
}

// NewCounters returns counters that report to scope; all of them are on the page from the start.
func NewCounters(scope tally.Scope) *Counters {
	change := func(kind string) tally.Counter {
		return scope.Tagged(map[string]string{"change": kind}).Counter("ownership_changes")
	}
	return &Counters{
		answers:             newCodeCounters(scope, "answers"),
		refusals:            newCodeCounters(scope, "refusals"),
		configRefused:       newCodeCounters(scope, "configurations_refused"),
		subRequests:         scope.Counter("sub_requests"),
		hedges:              scope.Counter("hedges"),
		retries:             scope.Counter("retries"),
		partsDropped:        scope.Counter("parts_of_another_snapshot"),
		crashesSuspected:    scope.Counter("suspected_crashes"),
		ownershipGained:     change("gained"),
		ownershipLost:       change("lost"),
		connectionsReplaced: scope.Counter("connections_replaced"),
		readsFailed:         scope.Counter("platform_reads_failed"),
		pauses:              scope.Counter("pauses"),
		pausedMilliseconds:  scope.Counter("paused_milliseconds"),
	}
}

// RecordAnswer counts an answer to a caller by its code.
func (c *Counters) RecordAnswer(code result.Code) { c.answers.inc(code) }

// RecordRefusal counts a request that ended without an answer by its code.
func (c *Counters) RecordRefusal(code result.Code) { c.refusals.inc(code) }

// RecordSubRequests counts primary sub-requests, on which hedge and retry budgets depend.
func (c *Counters) RecordSubRequests(n int) { c.subRequests.Inc(int64(n)) }

// RecordHedge counts a hedged sub-request.
func (c *Counters) RecordHedge() { c.hedges.Inc(1) }

// RecordRetry counts a retried sub-request.
func (c *Counters) RecordRetry() { c.retries.Inc(1) }

// RecordStaleResult counts a shard result that was dropped because it is of another snapshot.
func (c *Counters) RecordStaleResult() { c.partsDropped.Inc(1) }

// RecordSuspectedCrash counts an upstream that seems to have crashed while it ran a request.
func (c *Counters) RecordSuspectedCrash() { c.crashesSuspected.Inc(1) }

// RecordOwnershipGained counts an upstream that this VM has become owner VM of.
func (c *Counters) RecordOwnershipGained() { c.ownershipGained.Inc(1) }

// RecordOwnershipLost counts an upstream that this VM is no longer owner VM of.
func (c *Counters) RecordOwnershipLost() { c.ownershipLost.Inc(1) }

// RecordReplacedConnection counts a silent connection that was replaced.
func (c *Counters) RecordReplacedConnection() { c.connectionsReplaced.Inc(1) }

// RecordRejectedConfig counts a published configuration that was not accepted by the code of its first fault.
func (c *Counters) RecordRejectedConfig(code result.Code) { c.configRefused.inc(code) }

// RecordFailedPlatformRead counts a failed read or watch of the platform's configuration service or VM list.
func (c *Counters) RecordFailedPlatformRead() { c.readsFailed.Inc(1) }

// RecordPause counts a pause of the process and its length.
func (c *Counters) RecordPause(d time.Duration) {
	c.pauses.Inc(1)
	c.pausedMilliseconds.Inc(d.Milliseconds())
}

// codeCounters holds one counter for each result code, so that counting takes no lock of the scope.
type codeCounters map[result.Code]tally.Counter

func newCodeCounters(scope tally.Scope, name string) codeCounters {
	counters := codeCounters{}
	for _, code := range result.Codes() {
		counters[code] = scope.Tagged(map[string]string{
			"code":   strconv.Itoa(int(code)),
			"result": code.String(),
			"effect": code.Effect().String(),
		}).Counter(name)
	}
	return counters
}

// inc counts one event; a code that is not defined counts as internal.
func (c codeCounters) inc(code result.Code) {
	counter, ok := c[code]
	if !ok {
		counter = c[result.Internal]
	}
	counter.Inc(1)
}
