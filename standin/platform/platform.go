// Package platform is the stand-in for the platform's configuration service and list of VMs.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/wire"
)

// Platform holds published values and answers reads and watches.
type Platform struct {
	mux *http.ServeMux

	mu      sync.Mutex
	value   []byte
	tag     int
	changed chan struct{}
	vms     wire.VMList
	reads   int
}

// New returns a platform that publishes a configuration.
func New(value []byte) *Platform {
	p := &Platform{mux: http.NewServeMux(), value: value, tag: 1, changed: make(chan struct{})}
	p.mux.HandleFunc("GET /v1/config", p.getConfig)
	p.mux.HandleFunc("PUT /v1/config", p.putConfig)
	p.mux.HandleFunc("GET /v1/vms", p.getVMs)
	p.mux.HandleFunc("PUT /v1/vms", p.putVMs)
	return p
}

// ServeHTTP answers one request.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Publish replaces the configuration.
func (p *Platform) Publish(value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.value = value
	p.tag++
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []wire.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.Revision++
	p.vms.Vms = vms
}

// Reads returns the number of reads so far, a watch counted as one.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) getConfig(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	value, tag, changed := p.value, p.tag, p.changed
	p.mu.Unlock()
	if r.URL.Query().Get("after") == strconv.Itoa(tag) {
		p.watch(w, r, changed)
		return
	}
	writeConfig(w, value, tag)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) {
	seconds, err := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	if err != nil || seconds < 0 || seconds > 60 {
		http.Error(w, "wait must be 0 to 60 seconds", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(seconds*float64(time.Second)))
	defer cancel()
	select {
	case <-ctx.Done():
		w.WriteHeader(http.StatusNotModified)
	case <-changed:
		p.mu.Lock()
		value, tag := p.value, p.tag
		p.mu.Unlock()
		writeConfig(w, value, tag)
	}
}

func writeConfig(w http.ResponseWriter, value []byte, tag int) {
	w.Header().Set("Revision", strconv.Itoa(tag))
	_, _ = w.Write(value)
}

func (p *Platform) putConfig(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, codec.MaxConfigBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.Publish(value)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.reads++
	list := p.vms
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(list)
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	list, err := codec.DecodeJSON[wire.VMList](r.Body, codec.MaxConfigBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(list.Vms)
	w.WriteHeader(http.StatusNoContent)
}
