// Package platform implements a stand-in for the platform's configuration service and its list of VMs.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/standin"
	"pistachioshore.dev/table"
	"pistachioshore.dev/wire"
)

// maxWaitSeconds is the longest time that a watch may wait.
const maxWaitSeconds = 60

// Platform serves a versioned configuration and a list of VMs to reads and watches.
type Platform struct {
	opts  options
	mux   *http.ServeMux
	state *table.Guarded[state]
}

// New returns a platform that publishes value as its configuration, under tag 1.
func New(value []byte, opts ...Option) *Platform {
	p := &Platform{
		opts: options{reachable: func(*http.Request) bool { return true }}, mux: http.NewServeMux(),
		state: table.NewGuarded(standin.RankPlatform, newState(time.Now(), value)),
	}
	for _, opt := range opts {
		opt(&p.opts)
	}
	p.mux.HandleFunc("GET /v1/config", p.wrapRead(p.getConfig))
	p.mux.HandleFunc("GET /v1/vms", p.wrapRead(p.getVMs))
	p.mux.HandleFunc("PUT /v1/config", p.putConfig)
	p.mux.HandleFunc("PUT /v1/vms", p.putVMs)
	p.mux.HandleFunc("PUT /v1/faults", p.putFaults)
	return p
}

// ServeHTTP implements [http.Handler].
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Publish replaces the configuration and returns the tag of the new version, which is the previous tag plus 1.
// The value may have at most 1 MiB.
func (p *Platform) Publish(value []byte) (tag int, err error) {
	p.state.With(func(s *state) { tag, err = s.publish(value) })
	return tag, err
}

// SetVMs replaces the list of VMs; an error names the entry whose address or state is invalid.
func (p *Platform) SetVMs(vms []wire.VM) error {
	return table.WithResult(p.state, func(s *state) error { return s.setVMs(time.Now(), vms) })
}

// SetFaults replaces the faults; an error names the field that is out of range.
func (p *Platform) SetFaults(f Faults) error {
	return table.WithResult(p.state, func(s *state) error { return s.setFaults(time.Now(), f) })
}

// ReadCount returns the number of reads so far; a watch counts as one.
func (p *Platform) ReadCount() int {
	return table.WithResult(p.state, func(s *state) int { return s.readCount })
}

// wrapRead wraps a handler so that reads are counted and the faults apply to them.
func (p *Platform) wrapRead(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		delay := time.Duration(0)
		p.state.With(func(s *state) {
			s.readCount++
			delay = s.faults.Delay
		})
		pool.Sleep(r.Context(), delay)
		if p.checkReachable(w, r) {
			next(w, r)
		}
	}
}

// checkReachable reports whether the request may be answered now; otherwise it has ended the request.
func (p *Platform) checkReachable(w http.ResponseWriter, r *http.Request) bool {
	outage := table.WithResult(p.state, func(s *state) Outage { return s.faults.Outage })
	if !p.opts.reachable(r) || outage == OutageClose {
		panic(http.ErrAbortHandler)
	}
	if outage == OutageUnavailable {
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// getConfig returns the visible version, or waits until it differs from the one that the client has.
func (p *Platform) getConfig(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	wait, err := parseWait(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		var value []byte
		var tag int
		var changed <-chan struct{}
		p.state.With(func(s *state) {
			value, tag = s.visibleVersion()
			changed = s.changed
		})
		if after != strconv.Itoa(tag) {
			w.Header().Set("Revision", strconv.Itoa(tag))
			_, _ = w.Write(value) // fails only if the client closed the connection
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
		if !p.checkReachable(w, r) {
			return
		}
		if ctx.Err() != nil {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// parseWait parses the longest wait of a watch in seconds; an empty text means no wait.
func parseWait(seconds string) (time.Duration, error) {
	if seconds == "" {
		return 0, nil
	}
	s, err := strconv.ParseFloat(seconds, 64)
	if err != nil || !(s >= 0 && s <= maxWaitSeconds) {
		return 0, newRangeError("wait", seconds, 0, maxWaitSeconds)
	}
	return time.Duration(s * float64(time.Second)), nil
}

func (p *Platform) getVMs(w http.ResponseWriter, _ *http.Request) {
	list := table.WithResult(p.state, func(s *state) wire.VMList { return s.visibleList(time.Now()) })
	w.Header().Set("Revision", strconv.FormatUint(list.Revision, 10))
	_ = json.NewEncoder(w).Encode(list) // fails only if the client closed the connection
}

func (p *Platform) putConfig(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, codec.MaxConfigBytes+1))
	if err != nil {
		http.Error(w, "the body could not be read", http.StatusBadRequest)
		return
	}
	tag, err := p.Publish(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	w.Header().Set("Revision", strconv.Itoa(tag))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	decodeAndSet(w, r, func(list wire.VMList) error { return p.SetVMs(list.Vms) })
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	decodeAndSet(w, r, func(req wire.PlatformFaults) error {
		f, err := FaultsFromWire(req)
		if err != nil {
			return err
		}
		return p.SetFaults(f)
	})
}

// decodeAndSet decodes a body strictly and passes it to set; an error is answered with 400 and one line of text.
func decodeAndSet[T any](w http.ResponseWriter, r *http.Request, set func(T) error) {
	v, err := codec.DecodeJSON[T](r.Body, codec.MaxConfigBytes)
	if err == nil {
		err = set(v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
