// Package front exposes an entry.Tier to callers over HTTP and JSON.
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

// Handler is an http.Handler that translates between HTTP requests and a tier.
type Handler struct {
	tier   entry.Tier
	engine *gin.Engine
}

// New returns a handler that passes callers' requests to tier.
func New(tier entry.Tier) *Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &Handler{tier: tier, engine: gin.New()}
	h.engine.Use(gin.CustomRecovery(handlePanic))
	h.engine.HandleMethodNotAllowed = true
	h.engine.NoMethod(handleMethodNotAllowed)
	h.engine.NoRoute(handleNotFound)
	h.engine.POST("/v1/query", h.handleQuery)
	h.engine.POST("/v1/permits", h.handlePermit)
	h.engine.POST("/v1/orders", h.handleOrder)
	h.engine.GET("/v1/status", func(c *gin.Context) { c.JSON(http.StatusOK, h.tier.Status()) })
	h.engine.GET("/live", func(c *gin.Context) { c.Status(http.StatusNoContent) })
	h.engine.GET("/ready", h.handleReady)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.engine.ServeHTTP(w, r)
}

func handlePanic(c *gin.Context, _ any) {
	writeRefusal(c, "", result.New(result.Internal, "the request handler failed"))
}

func handleMethodNotAllowed(c *gin.Context) {
	fault := result.NewFieldError(result.OutOfRange, "method", c.Request.Method, c.Writer.Header().Get("Allow"))
	c.JSON(http.StatusMethodNotAllowed, codec.ToWireRefusal("", fault))
}

func handleNotFound(c *gin.Context) {
	const maxQuoted = 80
	path := c.Request.URL.EscapedPath()
	fault := result.NewFieldError(result.OutOfRange, "path", path[:min(len(path), maxQuoted)], "the paths of docs/design.md, section 5")
	c.JSON(http.StatusNotFound, codec.ToWireRefusal("", fault))
}

func (h *Handler) handleReady(c *gin.Context) {
	if !h.tier.Ready() {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusNoContent)
}

func (h *Handler) handleQuery(c *gin.Context) {
	id := crand.Text()
	req, err := decodeBody[wire.QueryRequest](c.Request.Body, h.tier.MaxBodyBytes())
	if err != nil {
		writeRefusal(c, id, err)
		return
	}
	q, err := queryFromWire(id, req)
	if err != nil {
		writeRefusal(c, id, err)
		return
	}
	a, err := h.tier.Query(c.Request.Context(), q)
	if err != nil {
		writeRefusal(c, id, err)
		return
	}
	c.JSON(http.StatusOK, answerToWire(id, a))
}

func (h *Handler) handlePermit(c *gin.Context) {
	p, err := h.tier.IssuePermit(c.Request.Context())
	if err != nil {
		writeRefusal(c, "", err)
		return
	}
	c.JSON(http.StatusOK, codec.ToWirePermit(p))
}

func (h *Handler) handleOrder(c *gin.Context) {
	id := crand.Text()
	req, err := decodeBody[wire.OrderRequest](c.Request.Body, h.tier.MaxBodyBytes())
	if err != nil {
		writeRefusal(c, id, err)
		return
	}
	o, err := orderFromWire(id, req)
	if err != nil {
		writeRefusal(c, id, err)
		return
	}
	// The order continues if the caller disconnects; its outcome is stored for a retry with the same
	// permit.
	out, err := h.tier.ExecuteOrder(context.WithoutCancel(c.Request.Context()), o)
	if err != nil {
		writeRefusal(c, id, err)
		return
	}
	c.JSON(http.StatusOK, codec.ToWireOrderAnswer(id, out.Code, out.Receipt))
}

// decodeBody decodes a JSON body of at most limit bytes. An error that names no field is reported for
// the body as a whole.
func decodeBody[T any](body io.Reader, limit int) (T, error) {
	v, err := codec.DecodeJSON[T](body, limit)
	if err == nil {
		return v, nil
	}
	fault := codec.CodedError(err)
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
	d, err := parseDeadline(req.Deadline)
	o.Deadline = d
	return o, err
}

// parseDeadline parses a caller's deadline. An empty value returns 0, which selects the route's
// deadline.
func parseDeadline(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	d, err := codec.ParseDuration("deadline", value, time.Millisecond, codec.MaxDeadline)
	if err != nil {
		return 0, result.NewFieldError(result.DeadlineOutOfRange, "deadline", value, "1ms to "+codec.MaxDeadline.String())
	}
	return d, nil
}

func queryFromWire(id string, req wire.QueryRequest) (entry.Query, error) {
	q := entry.Query{
		ID: id, Route: req.Route, Groups: req.Groups, Class: req.Class,
		Filter: codec.FromWireFilter(req.Filter), Limit: req.Limit,
	}
	d, err := parseDeadline(req.Deadline)
	q.Deadline = d
	return q, err
}

func answerToWire(id string, a entry.Answer) wire.QueryAnswer {
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

// retryAfterSeconds returns the number of whole seconds, 1 or 2, after which a refused caller should
// retry.
func retryAfterSeconds() int {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return int(math.Ceil(budget.RetryAfter(r, time.Second).Seconds()))
}

// writeRefusal writes err as a JSON refusal with the HTTP status of its code.
func writeRefusal(c *gin.Context, id string, err error) {
	fault := codec.CodedError(err)
	if fault.Code == result.Overloaded {
		c.Header("Retry-After", strconv.Itoa(retryAfterSeconds()))
	}
	c.JSON(httpStatus(fault.Code), codec.ToWireRefusal(id, fault))
}

func httpStatus(code result.Code) int {
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
