package upstream

import (
	"io"
	"net/http"
	"net/url"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

// ControlHandler serves the counts, faults and configuration of a set. It is served on a separate
// address, which stays reachable while an upstream is not. The query parameters upstream, service, group and
// zone select upstreams.
func (s *Set) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/starts", s.listStarts)
	mux.HandleFunc("PUT /v1/faults", s.putFaults)
	mux.HandleFunc("PUT /v1/config", s.putConfig)
	return mux
}

func (s *Set) selectedUpstreams(r *http.Request) ([]*Upstream, error) {
	q, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	sel := Selection{}
	fields := map[string]*string{
		"upstream": &sel.Upstream, "service": &sel.Service, "group": &sel.Group, "zone": &sel.Zone,
	}
	for name := range q {
		field, ok := fields[name]
		if !ok {
			return nil, result.NewFieldError(result.UnknownField, name, "", "upstream, service, group, zone")
		}
		*field = q.Get(name)
	}
	upstreams := s.Select(sel)
	if len(upstreams) == 0 {
		return nil, result.New(result.DanglingName, "no upstream of this process is selected")
	}
	return upstreams, nil
}

func (s *Set) listStarts(w http.ResponseWriter, r *http.Request) {
	upstreams, err := s.selectedUpstreams(r)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	list := wire.UpstreamCountsList{Items: []wire.UpstreamCounts{}}
	for _, u := range upstreams {
		list.Items = append(list.Items, u.Counts())
	}
	writeJSON(w, list)
}

func (s *Set) putFaults(w http.ResponseWriter, r *http.Request) {
	upstreams, err := s.selectedUpstreams(r)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	req, err := codec.DecodeJSON[wire.UpstreamFaults](r.Body, maxBodyBytes)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	for _, u := range upstreams {
		if err := u.SetFaultsFromWire(req); err != nil {
			writeBadRequest(w, err) // all upstreams check alike, so the first one refuses before any has changed
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Set) putConfig(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, codec.MaxConfigBytes))
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	cfg, faults := codec.ParseConfig(raw)
	if len(faults) > 0 {
		writeBadRequest(w, faults[0])
		return
	}
	s.UpdateConfig(cfg)
	w.WriteHeader(http.StatusNoContent)
}
