// Package front serves callers over HTTP and JSON.
package front

import (
	"context"
	crand "crypto/rand"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"pistachioshore.dev/budget"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/entry"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// Handler translates between HTTP and a tier.
type Handler struct {
	tier   entry.Tier
	engine *gin.Engine
}

// New returns a handler for a tier.
func New(tier entry.Tier) *Handler {
	gin.SetMode(gin.ReleaseMode)
	f := &Handler{tier: tier, engine: gin.New()}
	f.engine.Use(gin.CustomRecovery(recovered))
	f.engine.HandleMethodNotAllowed = true
	f.engine.NoMethod(noMethod)
	f.engine.NoRoute(noRoute)
	f.engine.POST("/v1/query", f.query)
	f.engine.POST("/v1/permits", f.permit)
	f.engine.POST("/v1/orders", f.order)
	f.engine.GET("/v1/status", func(c *gin.Context) { c.JSON(http.StatusOK, f.tier.Status()) })
	f.engine.GET("/live", func(c *gin.Context) { c.Status(http.StatusNoContent) })
	f.engine.GET("/ready", f.ready)
	return f
}

// ServeHTTP answers one request.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.engine.ServeHTTP(w, r)
}

func recovered(c *gin.Context, _ any) {
	refuse(c, "", result.New(result.Internal, "the request handler failed"))
}

func noMethod(c *gin.Context) {
	fault := result.NewFieldError(result.OutOfRange, "method", c.Request.Method, c.Writer.Header().Get("Allow"))
	c.JSON(http.StatusMethodNotAllowed, codec.ToWireRefusal("", fault))
}

func noRoute(c *gin.Context) {
	const maxQuoted = 80
	path := c.Request.URL.EscapedPath()
	fault := result.NewFieldError(result.OutOfRange, "path", path[:min(len(path), maxQuoted)], "the paths of docs/design.md, section 5")
	c.JSON(http.StatusNotFound, codec.ToWireRefusal("", fault))
}

func (f *Handler) ready(c *gin.Context) {
	if !f.tier.Ready() {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusNoContent)
}

func (f *Handler) query(c *gin.Context) {
	id := crand.Text()
	req, err := decode[wire.QueryRequest](c.Request.Body, f.tier.MaxBodyBytes())
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

func (f *Handler) permit(c *gin.Context) {
	p, err := f.tier.IssuePermit(c.Request.Context())
	if err != nil {
		refuse(c, "", err)
		return
	}
	c.JSON(http.StatusOK, codec.ToWirePermit(p))
}

func (f *Handler) order(c *gin.Context) {
	id := crand.Text()
	req, err := decode[wire.OrderRequest](c.Request.Body, f.tier.MaxBodyBytes())
	if err != nil {
		refuse(c, id, err)
		return
	}
	o, err := orderFromWire(id, req)
	if err != nil {
		refuse(c, id, err)
		return
	}
	// The order goes on when its caller leaves: the outcome is kept for the next try.
	out, err := f.tier.ExecuteOrder(context.WithoutCancel(c.Request.Context()), o)
	if err != nil {
		refuse(c, id, err)
		return
	}
	c.JSON(http.StatusOK, codec.ToWireOutcome(id, out.Code, out.Receipt))
}

// decode reads a body; a fault that no field stands for is one of the body as a whole.
func decode[T any](body io.Reader, limit int) (T, error) {
	v, err := codec.DecodeJSON[T](body, limit)
	if err == nil {
		return v, nil
	}
	fault := codec.Fault(err)
	if fault.Path == "" {
		fault.Path, fault.Allowed = "body", "one JSON object of at most "+strconv.Itoa(limit)+" bytes"
	}
	return v, fault
}

func orderFromWire(id string, req wire.OrderRequest) (entry.Order, error) {
	o := entry.Order{
		ID: id, Route: req.Route, Operation: req.Operation, Key: req.Key, Quantity: req.Quantity,
		Permit: codec.FromWirePermit(req.Permit),
	}
	if !o.Permit.Issuer.IsValid() || o.Permit.Token == "" {
		return o, result.NewFieldError(result.PermitRequired, "permit", "", "a permit from POST /v1/permits")
	}
	if o.Operation == "" {
		return o, result.NewFieldError(result.MissingField, "operation", "", "the name of an operation")
	}
	d, err := deadline(req.Deadline)
	o.Deadline = d
	return o, err
}

// deadline reads a caller's deadline; 0 stands for the route's.
func deadline(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	d, err := codec.ParseDuration("deadline", value, time.Millisecond, codec.MaxDeadline)
	if err != nil {
		return 0, result.NewFieldError(result.DeadlineOutOfRange, "deadline", value, "1ms to "+codec.MaxDeadline.String())
	}
	return d, nil
}

func fromWire(id string, req wire.QueryRequest) (entry.Query, error) {
	q := entry.Query{
		ID: id, Route: req.Route, Groups: req.Groups, Class: req.Class,
		Filter: codec.FromWireFilter(req.Filter), Limit: req.Limit,
	}
	d, err := deadline(req.Deadline)
	q.Deadline = d
	return q, err
}

func toWire(id string, a entry.Answer) wire.QueryAnswer {
	out := wire.QueryAnswer{
		RequestID: id, Code: int(a.Code), Result: a.Code.String(), Effect: a.Code.Effect().String(),
		Snapshot: a.Snapshot, Revision: a.Revision, Matched: a.Matched, Records: codec.ToWireRecords(a.Records),
		Coverage: wire.Coverage{Covered: append([]string{}, a.Covered...), Missing: []wire.MissingShard{}, Share: a.Coverage()},
	}
	for _, m := range a.Missing {
		out.Coverage.Missing = append(out.Coverage.Missing, wire.MissingShard{
			Shard: m.Shard.Name, From: m.Shard.From, To: m.Shard.To, Code: int(m.Code), Reason: m.Code.String(),
		})
	}
	return out
}

// retryAfter returns the whole seconds, 1 or 2, after which a refused caller should try again.
func retryAfter() int {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return int(math.Ceil(budget.RetryAfter(r, time.Second).Seconds()))
}

// refuse writes a coded refusal.
func refuse(c *gin.Context, id string, err error) {
	fault := codec.Fault(err)
	if fault.Code == result.Overloaded {
		c.Header("Retry-After", strconv.Itoa(retryAfter()))
	}
	c.JSON(status(fault.Code), codec.ToWireRefusal(id, fault))
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
