// Package front serves callers over HTTP and JSON.
package front

import (
	"crypto/rand"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/entry"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// Front translates between HTTP and a tier.
type Front struct {
	tier   entry.Tier
	engine *gin.Engine
}

// New returns a handler for a tier.
func New(tier entry.Tier) *Front {
	gin.SetMode(gin.ReleaseMode)
	f := &Front{tier: tier, engine: gin.New()}
	f.engine.Use(gin.CustomRecovery(recovered))
	f.engine.POST("/v1/query", f.query)
	f.engine.GET("/live", func(c *gin.Context) { c.Status(http.StatusNoContent) })
	f.engine.GET("/ready", f.ready)
	return f
}

// Engine returns the router, to which further routes can be added before it serves.
func (f *Front) Engine() *gin.Engine {
	return f.engine
}

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.engine.ServeHTTP(w, r)
}

func recovered(c *gin.Context, _ any) {
	refuse(c, "", result.New(result.Internal, "the request handler failed"))
}

func (f *Front) ready(c *gin.Context) {
	if !f.tier.Ready() {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusNoContent)
}

func (f *Front) query(c *gin.Context) {
	id := rand.Text()
	req, err := codec.DecodeJSON[wire.QueryRequest](c.Request.Body, f.tier.BodyLimit())
	if err != nil {
		refuse(c, id, err)
		return
	}
	q, err := fromWire(id, req)
	if err != nil {
		refuse(c, id, err)
		return
	}
	a, err := f.tier.Query(c.Request.Context(), q)
	if err != nil {
		refuse(c, id, err)
		return
	}
	c.JSON(http.StatusOK, toWire(id, a))
}

func fromWire(id string, req wire.QueryRequest) (entry.Query, error) {
	q := entry.Query{
		ID: id, Route: req.Route, Groups: req.Groups, Class: req.Class,
		Filter: codec.FromWireFilter(req.Filter), Limit: req.Limit,
	}
	if req.Deadline == "" {
		return q, nil
	}
	d, err := codec.ParseDuration("deadline", req.Deadline, time.Millisecond, codec.MaxDeadline)
	if err != nil {
		return q, result.Field(result.DeadlineOutOfRange, "deadline", req.Deadline, "1ms to "+codec.MaxDeadline.String())
	}
	q.Deadline = d
	return q, nil
}

func toWire(id string, a gather.Answer) wire.QueryAnswer {
	out := wire.QueryAnswer{
		RequestID: id, Code: int(a.Code), Result: a.Code.String(), Effect: a.Code.Effect().String(),
		Snapshot: a.Snapshot, Revision: a.Revision, Matched: a.Matched, Records: codec.ToWireRecords(a.Records),
		Coverage: wire.Coverage{Covered: append([]string{}, a.Covered...), Missing: []wire.MissingShard{}, Share: a.Share()},
	}
	for _, m := range a.Missing {
		out.Coverage.Missing = append(out.Coverage.Missing, wire.MissingShard{
			Shard: m.Shard.Name, From: m.Shard.From, To: m.Shard.To, Code: int(m.Code), Reason: m.Code.String(),
		})
	}
	return out
}

// refuse writes a coded refusal; an error without a code is internal.
func refuse(c *gin.Context, id string, err error) {
	var fault *result.Error
	if !errors.As(err, &fault) {
		fault = result.New(result.Internal, "the request failed inside the tier")
	}
	c.JSON(status(fault.Code), wire.Refusal{
		RequestID: id, Code: int(fault.Code), Result: fault.Code.String(), Effect: fault.Code.Effect().String(),
		Path: fault.Path, Value: fault.Value, Allowed: fault.Allowed, Detail: fault.Detail,
	})
}

func status(code result.Code) int {
	switch {
	case code == result.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case code >= 200 && code < 300:
		return http.StatusBadRequest
	case code == result.Overloaded || code == result.Quarantined:
		return http.StatusTooManyRequests
	case code >= 300 && code < 400:
		return http.StatusServiceUnavailable
	case code >= 500 && code < 600:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}
