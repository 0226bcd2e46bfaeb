package upstream

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/record"
	"pistachioshore.dev/table"
	"pistachioshore.dev/wire"
)

// maxBodyBytes is the largest request body.
const maxBodyBytes = 1 << 16

// ServeHTTP implements [http.Handler].
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.state.With(func(s *state) {
		w.Header().Set("Incarnation", s.incarnation())
		if s.faults.Draining {
			w.Header().Set("Draining", "true")
		}
	})
	u.mux.ServeHTTP(w, r)
}

func (u *Upstream) search(w http.ResponseWriter, r *http.Request) {
	req, err := codec.DecodeJSON[wire.SearchRequest](r.Body, maxBodyBytes)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	j, err := newJob(r)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	j.setSearch(req)
	load := table.WithResult(u.loader, func(l *Loader) Loader { return *l })
	records, ok := load(req.Shard, req.Snapshot)
	if !ok {
		http.Error(w, "unknown shard "+strconv.Quote(req.Shard), http.StatusNotFound)
		return
	}
	w.Header().Set("Snapshot", strconv.FormatUint(req.Snapshot, 10))
	if !u.runJob(w, r, j) {
		return
	}
	selected, matched := record.Select(records, codec.FromWireFilter(&req.Filter), req.Limit)
	writeJSON(w, wire.SearchResponse{Snapshot: req.Snapshot, Records: codec.ToWireRecords(selected), Matched: matched})
}

func (u *Upstream) execute(w http.ResponseWriter, r *http.Request) {
	req, err := codec.DecodeJSON[wire.ExecuteRequest](r.Body, maxBodyBytes)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	j, err := newJob(r)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	j.setExecute(req)
	if u.runJob(w, r, j) {
		writeJSON(w, wire.ExecuteResponse{Receipt: j.receipt})
	}
}

// runJob runs a job to its end and reports whether it was served; otherwise it has written the response.
//
// The slot is freed before the response is written, so that a client that reads the response and
// sends its next request at once is never counted as two running requests.
func (u *Upstream) runJob(w http.ResponseWriter, r *http.Request, j *job) bool {
	refusal, accepted := noResponse, false
	connections, _, _ := u.endpoint.counts()
	u.update(func(s *state, now time.Time) { refusal, accepted = s.enqueue(now, j, connections) })
	if !accepted {
		writeRefusal(w, refusal)
		return false
	}
	o := u.awaitJob(r, j)
	if o != served {
		writeRefusal(w, o.status())
	}
	return o == served
}

// awaitJob waits for the end of an accepted job and returns its outcome.
func (u *Upstream) awaitJob(r *http.Request, j *job) outcome {
	deadline := time.NewTimer(time.Until(j.deadline))
	defer deadline.Stop()
	var serviceDone <-chan time.Time
	started, clientGone := j.started, r.Context().Done()
	for {
		select {
		case <-started:
			started = nil
			t := time.NewTimer(j.serviceTime)
			defer t.Stop()
			serviceDone = t.C
		case <-serviceDone:
			return u.finish(j, served)
		case <-deadline.C:
			return u.finish(j, expired)
		case <-j.ended:
			return j.outcome
		case <-clientGone:
			if !isSilenced(r.Context()) {
				return u.finish(j, abandoned)
			}
			clientGone = nil // a silenced connection hides that the client closed it
		}
	}
}

func (u *Upstream) finish(j *job, o outcome) (ended outcome) {
	u.update(func(s *state, now time.Time) { ended = s.finish(now, j, o) })
	return ended
}

func (u *Upstream) cancel(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.Atoi(r.Header.Get("Attempt"))
	if err != nil {
		http.Error(w, "the Attempt header is not a whole number", http.StatusBadRequest)
		return
	}
	found := false
	u.update(func(s *state, now time.Time) { found = s.cancel(now, r.PathValue("id"), attempt) })
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, table.WithResult(u.state, func(s *state) wire.Health {
		return wire.Health{Status: s.currentReport(time.Now()).status, Incarnation: s.incarnation()}
	}))
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, table.WithResult(u.state, func(s *state) wire.Load { return s.currentReport(time.Now()).load }))
}

func (u *Upstream) listStarts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, u.Counts())
}

func (u *Upstream) putFaults(w http.ResponseWriter, r *http.Request) {
	req, err := codec.DecodeJSON[wire.UpstreamFaults](r.Body, maxBodyBytes)
	if err == nil {
		err = u.SetFaultsFromWire(req)
	}
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetFaultsFromWire sets the faults and carries out the one-time actions of a request, silence and restart.
func (u *Upstream) SetFaultsFromWire(req wire.UpstreamFaults) error {
	f, err := FaultsFromWire(req)
	if err == nil {
		err = u.SetFaults(f)
	}
	if err != nil {
		return err
	}
	if req.Silence {
		u.SilenceConnections()
	}
	if req.Restart {
		u.Restart()
	}
	return nil
}

// writeRefusal writes a status without a body, or closes the connection without a response for noResponse.
func writeRefusal(w http.ResponseWriter, status int) {
	if status == noResponse {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Shed", "true")
	}
	w.WriteHeader(status)
}

func writeBadRequest(w http.ResponseWriter, err error) {
	http.Error(w, err.Error(), http.StatusBadRequest)
}

func writeJSON[T any](w http.ResponseWriter, v T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has closed the connection
}
