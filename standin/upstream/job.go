package upstream

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// StatusCancelled is the HTTP status of a request that ended because its client cancelled it with DELETE.
const StatusCancelled = 499

// outcome is the state of a job: running, or how it ended.
type outcome int

const (
	running      outcome = iota
	served               // completed
	cancelled            // by DELETE
	expired              // its deadline passed while it ran
	notStarted           // its deadline passed while it was queued
	snapshotGone         // its snapshot was dropped while it was queued
	abandoned            // the client closed the connection
	crashed              // the upstream restarted
)

// String returns the outcome as the list of starts writes it.
func (o outcome) String() string {
	return [...]string{"running", "served", "cancelled", "expired", "not-started", "snapshot-gone", "abandoned", "crashed"}[o]
}

// status returns the response's HTTP status, or noResponse if the connection is closed without one.
func (o outcome) status() int {
	switch o {
	case served:
		return http.StatusOK
	case cancelled:
		return StatusCancelled
	case expired:
		return http.StatusGatewayTimeout
	case notStarted:
		return http.StatusRequestTimeout
	case snapshotGone:
		return http.StatusConflict
	default:
		return 0
	}
}

// job is one attempt at a request.
type job struct {
	requestID string
	attempt   int
	operation string
	shard     string // empty for an execute
	snapshot  uint64
	deadline  time.Time
	inputs    []string // in which the poison text is searched
	execute   *wire.ExecuteRequest

	serviceTime time.Duration // set before started is closed
	startIndex  int           // index in the log of starts
	started     chan struct{} // closed when the job starts
	ended       chan struct{} // closed when the job ends, after outcome is set
	outcome     outcome
	receipt     string
}

// newJob returns a job with the request ID, attempt and deadline from the headers of a request.
func newJob(r *http.Request) (*job, error) {
	j := &job{requestID: r.Header.Get("Request-Id"), started: make(chan struct{}), ended: make(chan struct{})}
	if j.requestID == "" {
		return nil, result.NewFieldError(result.MissingField, "Request-Id", "", "a request id")
	}
	var err error
	if j.attempt, err = strconv.Atoi(r.Header.Get("Attempt")); err != nil {
		return nil, result.NewFieldError(result.OutOfRange, "Attempt", r.Header.Get("Attempt"), "a whole number")
	}
	if j.deadline, err = time.Parse(time.RFC3339Nano, r.Header.Get("Deadline")); err != nil {
		return nil, result.NewFieldError(result.OutOfRange, "Deadline", r.Header.Get("Deadline"), "a time in RFC 3339")
	}
	return j, nil
}

// setSearch sets the fields of a search.
func (j *job) setSearch(req wire.SearchRequest) {
	j.operation, j.shard, j.snapshot = "search", req.Shard, req.Snapshot
	f := req.Filter
	j.inputs = []string{f.Contains, f.KeyFrom, f.KeyTo, f.Kind}
}

// setExecute sets the fields of an execute.
func (j *job) setExecute(req wire.ExecuteRequest) {
	j.operation, j.execute = req.Operation, &req
	j.inputs = []string{req.Key}
}

// contains reports whether one of the job's inputs contains the poison text.
func (j *job) contains(poison string) bool {
	return poison != "" && slices.ContainsFunc(j.inputs, func(t string) bool { return strings.Contains(t, poison) })
}

// fingerprint identifies the job's work regardless of request, shard, deadline and caller.
func (j *job) fingerprint() string {
	return fmt.Sprintf("%s %q", j.operation, j.inputs)
}
