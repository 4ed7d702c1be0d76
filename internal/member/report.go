package member

import (
	"encoding/json"
	"fmt"

	"knotrouter/internal/endpoints"
)

// maxReportBytes is the maximum size of the text of a Report.
const maxReportBytes = 1 << 20

// Observation is the state of a member as one observer sees it. An empty state withdraws
// the observer's earlier observation. The JSON keys are part of the wire format.
type Observation struct {
	Name        string `json:"n"`
	Role        Role   `json:"r"`
	Zone        string `json:"z,omitempty"`
	Incarnation int64  `json:"i,omitempty"`
	State       State  `json:"s"`
	ForMs       int64  `json:"t"` // for how long the observer has seen this state
}

// valid reports whether all fields are valid.
func (o *Observation) valid() bool {
	return endpoints.IsToken(o.Name, endpoints.MaxName) &&
		o.Role.known() &&
		(o.State == "" || o.State.known()) &&
		o.ForMs >= 0 && o.Incarnation >= 0 &&
		(o.Zone == "" || endpoints.IsToken(o.Zone, endpoints.MaxLabel))
}

// Report carries observations of one observer to the others: all observations if Full is
// set, and otherwise only the changed ones. The JSON keys are part of the wire format.
type Report struct {
	ProtocolVersion int           `json:"f"`
	From            string        `json:"n"` // name of the observer
	Incarnation     int64         `json:"i,omitempty"`
	Seq             int64         `json:"q"` // increases with each report within one boot of the observer
	BootID          string        `json:"b"` // generated at each start of the observer
	Full            bool          `json:"w,omitempty"`
	Observations    []Observation `json:"o,omitempty"`
}

// DecodeReport decodes and validates the JSON text of a Report. On failure it returns the zero
// Report and an error that wraps an *UnsupportedVersionError if this build does not support the
// version, and otherwise an *InvalidMessageError or the error of package json.
func DecodeReport(text []byte) (Report, error) {
	if len(text) > maxReportBytes {
		return Report{}, fmt.Errorf("report: %w", invalidMessage("longer than %d bytes", maxReportBytes))
	}
	var r Report
	if err := json.Unmarshal(text, &r); err != nil {
		return Report{}, fmt.Errorf("report: %w", err)
	}
	switch {
	case r.ProtocolVersion != ProtocolVersion:
		return Report{}, fmt.Errorf("report: %w", &UnsupportedVersionError{r.ProtocolVersion})
	case !endpoints.IsToken(r.From, endpoints.MaxName):
		return Report{}, fmt.Errorf("report: %w", invalidMessage("from: must be a word"))
	case len(r.Observations) > MaxMembers:
		return Report{}, fmt.Errorf("report: %w", invalidMessage("%d observations exceed the limit of %d", len(r.Observations), MaxMembers))
	}
	for i := range r.Observations {
		if !r.Observations[i].valid() {
			return Report{}, fmt.Errorf("report: %w", invalidMessage("observation %d is invalid", i))
		}
	}
	return r, nil
}
