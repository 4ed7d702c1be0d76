package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// Handler serves the state as JSON at GET /v1/state, compared with the expected list, which the query
// parameters servers, first_absent, absent and version describe. With ages=1 the state includes the
// histogram of ages. POST /v1/reset discards the recorded ages.
func (p *Agents) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", p.serveState)
	mux.HandleFunc("POST /v1/reset", func(w http.ResponseWriter, _ *http.Request) {
		p.resetAges()
		writeJSON(w, struct{}{})
	})
	return mux
}

func (p *Agents) serveState(w http.ResponseWriter, r *http.Request) {
	expected, err := parseExpectedList(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	state := p.State(expected)
	if r.URL.Query().Get("ages") == "1" {
		state.Ages = p.exportAges()
	}
	writeJSON(w, state)
}

// parseExpectedList parses the ExpectedList in a request's query. Its error names the invalid parameter.
func parseExpectedList(r *http.Request) (ExpectedList, error) {
	var e ExpectedList
	query := r.URL.Query()
	for key, into := range map[string]*int{"servers": &e.Servers, "first_absent": &e.FirstAbsent, "absent": &e.Absent} {
		if text := query.Get(key); text != "" {
			value, err := strconv.Atoi(text)
			if err != nil || value < 0 || value > MaxServers {
				return e, fmt.Errorf("%s: must be 0 to %d, is %q", key, MaxServers, text)
			}
			*into = value
		}
	}
	if text := query.Get("version"); text != "" {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return e, fmt.Errorf("version: no number: %q", text)
		}
		e.Version = value
	}
	return e, nil
}

// Handler serves the state at GET /v1/state and accepts commands: POST /v1/register, /v1/silence, /v1/drain
// and /v1/leave with a Range of servers, and /v1/rates with Rates. The context bounds the control-plane
// calls that a command causes.
func (p *Servers) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.State()) })
	mux.HandleFunc("POST /v1/register", p.rangeHandler(func(r Range) any { return p.Register(ctx, r) }))
	mux.HandleFunc("POST /v1/silence", p.rangeHandler(func(r Range) any {
		p.StopRenewing(r)
		return r
	}))
	mux.HandleFunc("POST /v1/drain", p.rangeHandler(func(r Range) any { return Range{r.First, p.Drain(ctx, r)} }))
	mux.HandleFunc("POST /v1/leave", p.rangeHandler(func(r Range) any { return Range{r.First, p.Deregister(ctx, r)} }))
	mux.HandleFunc("POST /v1/rates", p.serveRates)
	return mux
}

// rangeHandler returns the handler of a command on a range of servers. It responds with the command's result
// as JSON.
func (p *Servers) rangeHandler(command func(Range) any) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		var r Range
		err := json.NewDecoder(io.LimitReader(request.Body, maxBody)).Decode(&r)
		if err != nil || r.First < 0 || r.Count < 0 || r.First+r.Count > p.config.Count {
			http.Error(w, fmt.Sprintf("first, count: must be a range of %d servers", p.config.Count), http.StatusBadRequest)
			return
		}
		writeJSON(w, command(r))
	}
}

// serveRates sets the rates of changes.
func (p *Servers) serveRates(w http.ResponseWriter, r *http.Request) {
	var rates Rates
	err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&rates)
	if err != nil || !rates.valid() {
		http.Error(w, fmt.Sprintf("rates: must be 0 or above and at most %d a second", maxChangesPerSecond), http.StatusBadRequest)
		return
	}
	p.setRates(rates)
	writeJSON(w, rates)
}
