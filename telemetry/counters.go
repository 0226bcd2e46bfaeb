package telemetry

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"pistachioshore.dev/result"
)

// Counters holds the event counters of one VM; it is safe for concurrent use.
type Counters struct {
	answers             codeCounters
	refusals            codeCounters
	rejectedConfigs     codeCounters
	subRequests         tally.Counter
	hedges              tally.Counter
	retries             tally.Counter
	staleResults        tally.Counter
	suspectedCrashes    tally.Counter
	ownershipGained     tally.Counter
	ownershipLost       tally.Counter
	replacedConnections tally.Counter
	failedPlatformReads tally.Counter
	pauses              tally.Counter
	pausedMilliseconds  tally.Counter
}

// NewCounters returns counters that report to scope. All of them are created here, so that the metrics
// page shows a counter before its first event.
func NewCounters(scope tally.Scope) *Counters {
	ownershipCounter := func(change string) tally.Counter {
		return scope.Tagged(map[string]string{"change": change}).Counter("ownership_changes")
	}
	return &Counters{
		answers:             newCodeCounters(scope, "answers"),
		refusals:            newCodeCounters(scope, "refusals"),
		rejectedConfigs:     newCodeCounters(scope, "configurations_refused"),
		subRequests:         scope.Counter("sub_requests"),
		hedges:              scope.Counter("hedges"),
		retries:             scope.Counter("retries"),
		staleResults:        scope.Counter("parts_of_another_snapshot"),
		suspectedCrashes:    scope.Counter("suspected_crashes"),
		ownershipGained:     ownershipCounter("gained"),
		ownershipLost:       ownershipCounter("lost"),
		replacedConnections: scope.Counter("connections_replaced"),
		failedPlatformReads: scope.Counter("platform_reads_failed"),
		pauses:              scope.Counter("pauses"),
		pausedMilliseconds:  scope.Counter("paused_milliseconds"),
	}
}

// RecordAnswer counts an answer to a caller by its code.
func (c *Counters) RecordAnswer(code result.Code) { c.answers.inc(code) }

// RecordRefusal counts a request that ended without an answer by its code.
func (c *Counters) RecordRefusal(code result.Code) { c.refusals.inc(code) }

// RecordSubRequests counts n sub-requests, including hedges and retries.
func (c *Counters) RecordSubRequests(n int) { c.subRequests.Inc(int64(n)) }

// RecordHedge counts a hedge, a sub-request to another replica because the first one is slow.
func (c *Counters) RecordHedge() { c.hedges.Inc(1) }

// RecordRetry counts a sub-request that is sent again because an earlier attempt failed.
func (c *Counters) RecordRetry() { c.retries.Inc(1) }

// RecordStaleResult counts a shard result that was dropped because it comes from another snapshot.
func (c *Counters) RecordStaleResult() { c.staleResults.Inc(1) }

// RecordSuspectedCrash counts an upstream that appears to have crashed while it ran a request.
func (c *Counters) RecordSuspectedCrash() { c.suspectedCrashes.Inc(1) }

// RecordOwnershipGained counts an upstream that this VM has become the owner VM of. The owner VM of an upstream
// limits and queues the work there for the whole tier.
func (c *Counters) RecordOwnershipGained() { c.ownershipGained.Inc(1) }

// RecordOwnershipLost counts an upstream that this VM no longer owns.
func (c *Counters) RecordOwnershipLost() { c.ownershipLost.Inc(1) }

// RecordReplacedConnection counts a connection to another VM that has ended; it is replaced unless that VM is lost.
func (c *Counters) RecordReplacedConnection() { c.replacedConnections.Inc(1) }

// RecordRejectedConfig counts a rejected configuration by the code of its first fault.
func (c *Counters) RecordRejectedConfig(code result.Code) { c.rejectedConfigs.inc(code) }

// RecordFailedPlatformRead counts a failed read or watch of the platform's configuration service or VM list.
func (c *Counters) RecordFailedPlatformRead() { c.failedPlatformReads.Inc(1) }

// RecordPause counts a pause during which the process did not run, and adds its length to the total time paused.
func (c *Counters) RecordPause(d time.Duration) {
	c.pauses.Inc(1)
	c.pausedMilliseconds.Inc(d.Milliseconds())
}

// codeCounters holds one counter for each result code. They are created in advance, because looking up a
// tagged counter takes the scope's lock.
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

// inc counts one event; an undefined code counts as internal.
func (c codeCounters) inc(code result.Code) {
	counter, ok := c[code]
	if !ok {
		counter = c[result.Internal]
	}
	counter.Inc(1)
}
