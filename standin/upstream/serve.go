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

// maxBodyBytes bounds the bodies of requests.
const maxBodyBytes = 1 << 16

// ServeHTTP answers one request.
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
		badInput(w, err)
		return
	}
	j, err := newJob(r)
	if err != nil {
		badInput(w, err)
		return
	}
	j.search(req)
	load := table.WithResult(u.data, func(l *Loader) Loader { return *l })
	records, ok := load(req.Shard, req.Snapshot)
	if !ok {
		http.Error(w, "unknown shard "+strconv.Quote(req.Shard), http.StatusNotFound)
		return
	}
	w.Header().Set("Snapshot", strconv.FormatUint(req.Snapshot, 10))
	if !u.run(w, r, j) {
		return
	}
	selected, matched := record.Select(records, codec.FromWireFilter(&req.Filter), req.Limit)
	answer(w, wire.SearchResponse{Snapshot: req.Snapshot, Records: codec.ToWireRecords(selected), Matched: matched})
}

func (u *Upstream) execute(w http.ResponseWriter, r *http.Request) {
	req, err := codec.DecodeJSON[wire.ExecuteRequest](r.Body, maxBodyBytes)
	if err != nil {
		badInput(w, err)
		return
	}
	j, err := newJob(r)
	if err != nil {
		badInput(w, err)
		return
	}
	j.run(req)
	if u.run(w, r, j) {
		answer(w, wire.ExecuteResponse{Receipt: j.receipt})
	}
}

// run reports whether the job was served; otherwise it has written the response.
//
// The slot is free before the response is written, so that a client that reads the response and
// sends its next request is never counted twice.
func (u *Upstream) run(w http.ResponseWriter, r *http.Request, j *job) bool {
	refusal, accepted := noResponse, false
	connections, _, _ := u.endpoint.counts()
	u.with(func(s *state, now time.Time) { refusal, accepted = s.arrive(now, j, connections) })
	if !accepted {
		refuse(w, refusal)
		return false
	}
	o := u.await(r, j)
	if o != served {
		refuse(w, o.status())
	}
	return o == served
}

// await returns how an accepted job ended.
func (u *Upstream) await(r *http.Request, j *job) outcome {
	deadline := time.NewTimer(time.Until(j.deadline))
	defer deadline.Stop()
	var service <-chan time.Time
	started, left := j.started, r.Context().Done()
	for {
		select {
		case <-started:
			started = nil
			t := time.NewTimer(j.service)
			defer t.Stop()
			service = t.C
		case <-service:
			return u.finish(j, served)
		case <-deadline.C:
			return u.finish(j, expired)
		case <-j.ended:
			return j.outcome
		case <-left:
			if !isSilent(r.Context()) {
				return u.finish(j, abandoned)
			}
			left = nil // the close of a silent connection does not arrive
		}
	}
}

func (u *Upstream) finish(j *job, o outcome) (ended outcome) {
	u.with(func(s *state, now time.Time) { ended = s.finish(now, j, o) })
	return ended
}

func (u *Upstream) cancel(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.Atoi(r.Header.Get("Attempt"))
	if err != nil {
		http.Error(w, "the Attempt header is not a whole number", http.StatusBadRequest)
		return
	}
	found := false
	u.with(func(s *state, now time.Time) { found = s.cancel(now, r.PathValue("id"), attempt) })
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	answer(w, table.WithResult(u.state, func(s *state) wire.Health {
		return wire.Health{Status: s.reported(time.Now()).status, Incarnation: s.incarnation()}
	}))
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	answer(w, table.WithResult(u.state, func(s *state) wire.Load { return s.reported(time.Now()).load }))
}

func (u *Upstream) listStarts(w http.ResponseWriter, _ *http.Request) {
	answer(w, u.Counts())
}

func (u *Upstream) putFaults(w http.ResponseWriter, r *http.Request) {
	req, err := codec.DecodeJSON[wire.UpstreamFaults](r.Body, maxBodyBytes)
	if err == nil {
		err = u.SetFaultsFromWire(req)
	}
	if err != nil {
		badInput(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetFaultsFromWire sets received faults and carries out the ones that act once.
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

// refuse writes a status without a body, or ends the connection without a response.
func refuse(w http.ResponseWriter, status int) {
	if status == noResponse {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Shed", "true")
	}
	w.WriteHeader(status)
}

func badInput(w http.ResponseWriter, err error) {
	http.Error(w, err.Error(), http.StatusBadRequest)
}

func answer[T any](w http.ResponseWriter, v T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has gone
}
