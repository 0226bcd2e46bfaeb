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

// StatusCancelled is the status of a request that was cancelled.
const StatusCancelled = 499

// outcome says how a job ended.
type outcome int

const (
	running     outcome = iota
	served              // the work is done
	cancelled           // by DELETE
	expired             // at its deadline, after the start
	neverBegun          // at its deadline, before the start
	versionGone         // its snapshot was dropped before the start
	abandoned           // the client closed the connection
	crashed             // the upstream restarted
)

// String returns the outcome as the list of starts shows it.
func (o outcome) String() string {
	return [...]string{"running", "served", "cancelled", "expired", "not-started", "snapshot-gone", "abandoned", "crashed"}[o]
}

// status returns the response's status, or 0 if the connection ends without one.
func (o outcome) status() int {
	switch o {
	case served:
		return http.StatusOK
	case cancelled:
		return StatusCancelled
	case expired:
		return http.StatusGatewayTimeout
	case neverBegun:
		return http.StatusRequestTimeout
	case versionGone:
		return http.StatusConflict
	default:
		return 0
	}
}

// job is one attempt at a request.
type job struct {
	request   string
	attempt   int
	operation string
	shard     string // empty for an execute
	snapshot  uint64
	deadline  time.Time
	texts     []string // what a poison text is looked for in
	execute   *wire.ExecuteRequest

	service time.Duration // drawn at the start
	entry   int           // index in the list of starts
	started chan struct{} // closed at the start
	ended   chan struct{} // closed at the end, when outcome is set
	outcome outcome
	receipt string
}

// newJob reads the headers of a request.
func newJob(r *http.Request) (*job, error) {
	j := &job{request: r.Header.Get("Request-Id"), started: make(chan struct{}), ended: make(chan struct{})}
	if j.request == "" {
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

// search completes the job of a search.
func (j *job) search(req wire.SearchRequest) {
	j.operation, j.shard, j.snapshot = "search", req.Shard, req.Snapshot
	f := req.Filter
	j.texts = []string{f.Contains, f.KeyFrom, f.KeyTo, f.Kind}
}

// run completes the job of an execute.
func (j *job) run(req wire.ExecuteRequest) {
	j.operation, j.execute = req.Operation, &req
	j.texts = []string{req.Key}
}

// contains reports whether one of the job's texts contains the poison text.
func (j *job) contains(poison string) bool {
	return poison != "" && slices.ContainsFunc(j.texts, func(t string) bool { return strings.Contains(t, poison) })
}

// fingerprint names the job's work without request, shard, deadline and caller.
func (j *job) fingerprint() string {
	return fmt.Sprintf("%s %q", j.operation, j.texts)
}
