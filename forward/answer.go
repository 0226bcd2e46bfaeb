package forward

import (
	"fmt"
	"strings"
	"time"

	"pistachioshore.dev/event"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/result"
)

// answer returns the answer to the client once the query is done.
func (q *query) answer() Answer {
	g := q.state.Answer()
	if q.route.Sharded() {
		return q.mergedAnswer(g)
	}
	return q.singleAnswer(g)
}

// mergedAnswer returns the greatest records of the shards that answered.
func (q *query) mergedAnswer(g gather.Answer[*Response]) Answer {
	a := Answer{Code: g.Code, Sharded: true}
	if len(g.Covered) == 0 || (q.req.Shards == nil && g.Coverage() < q.route.MinCoverage) {
		a.Code = q.failureCode(g)
		return q.recordAnswer(a, g)
	}
	q.merge(&a, g)
	return q.recordAnswer(a, g)
}

// partialAnswer returns the answer with the shards that have answered so far.
func (q *query) partialAnswer() Answer {
	a := Answer{Code: result.Partial, Sharded: true}
	q.merge(&a, q.state.Answer())
	return a
}

// merge adds the records and stamps of the shards that have answered.
func (q *query) merge(a *Answer, g gather.Answer[*Response]) {
	a.Missing = len(g.Missing)
	bodies := make([][]byte, 0, len(g.Values))
	for _, resp := range g.Values {
		bodies = append(bodies, resp.Body)
		a.Stamps = append(a.Stamps, resp.Stamp)
	}
	a.Records = topRecords(bodies, q.route.TopK)
}

// singleAnswer returns the response of the upstream, including an error response.
func (q *query) singleAnswer(g gather.Answer[*Response]) Answer {
	a := Answer{Code: g.Code}
	if len(g.Values) > 0 {
		a.Response = g.Values[0]
		return q.recordAnswer(a, g)
	}
	a.Code = q.failureCode(g)
	q.mu.Lock()
	errorResponse := q.errorResponse
	q.mu.Unlock()
	if errorResponse != nil && a.Code.Effect() == result.MayHaveRun {
		a.Response = errorResponse
	}
	return q.recordAnswer(a, g)
}

// failureCode returns the code of a query that failed. Its effect is NotRun only if no attempt may have run.
func (q *query) failureCode(g gather.Answer[*Response]) result.Code {
	deadlinePassed := !time.Now().Before(q.deadline)
	code := result.Unreachable
	if len(g.Covered) > 0 {
		code = result.Late
	}
	for _, m := range g.Missing {
		switch {
		case m.Code == result.Late && deadlinePassed:
			return result.Late
		case m.Code == result.Late && code.Effect() != result.NotRun: // ended early because other shards failed
		case m.Code.Effect() != result.NotRun || code.Effect() == result.NotRun:
			code = m.Code
		}
	}
	return code
}

// maxMissingLogged limits the missing shards that one log line names.
const maxMissingLogged = 6

// formatMissing formats the missing shards for the log: each with its code, and the servers and zones that it waited for.
func (q *query) formatMissing(list []gather.MissingShard) string {
	var out strings.Builder
	for i, m := range list {
		if i == maxMissingLogged {
			fmt.Fprintf(&out, " and %d more", len(list)-i)
			break
		}
		if i > 0 {
			out.WriteByte(' ')
		}
		fmt.Fprintf(&out, "%s:%v", m.Shard.Service, m.Code)
		if servers := q.late[m.Shard.Service]; len(servers) > 0 {
			out.WriteString("@" + strings.Join(servers, "+"))
		}
	}
	return out.String()
}

// answerEvent returns the kind of event for an answer with the given code.
func answerEvent(code result.Code) event.Kind {
	switch {
	case code == result.Partial:
		return event.PartialAnswer
	case code == result.Complete:
		return event.RequestAnswered
	case code.Effect() == result.NotRun:
		return event.RequestRefused
	default:
		return event.RequestFailed
	}
}

// recordAnswer counts and logs the answer, and sets its retry delay if the request was refused. A part that this VM merges
// itself is logged only if shards are missing, and is not counted as a request.
func (q *query) recordAnswer(a Answer, g gather.Answer[*Response]) Answer {
	kind := answerEvent(a.Code)
	if kind == event.RequestRefused {
		a.RetryAfter = q.refusalDelay(a.Code)
	}
	ownPart := q.req.Shards != nil && !q.req.Relayed
	if ownPart && kind == event.RequestAnswered {
		return a
	}
	if !ownPart {
		q.vm.stats.recordRequest(q.route.Name, a.Code, time.Since(q.req.ReceivedAt))
	}
	q.mu.Lock()
	extraAttempts := q.extraAttempts
	q.mu.Unlock()
	fields := q.eventFields(event.F(event.Code, a.Code), event.F(event.CoveredShards, len(g.Covered)),
		event.F(event.Shards, len(q.shards)), event.F(event.Number, extraAttempts))
	if len(g.Missing) > 0 {
		fields = append(fields, event.F(event.MissingShards, q.formatMissing(g.Missing)))
	}
	if a.RetryAfter > 0 {
		fields = append(fields, event.F(event.Delay, a.RetryAfter))
	}
	q.vm.events.Record(kind, fields...)
	return a
}
