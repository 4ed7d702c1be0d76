package catalog

import (
	"time"

	"knotrouter/internal/endpoints"
)

// Entry is a registered server, or a removed one that is retained for a while.
type Entry struct {
	Endpoint       endpoints.Endpoint `json:"host"` // the endpoint as the server registered it
	Version        int64              `json:"version"`
	WeightOverride *float64           `json:"share,omitempty"`  // set by an operator; nil if there is none
	HealthOverride string             `json:"health,omitempty"` // set by an operator; "" if there is none
	Removed        bool               `json:"ended,omitempty"`
	RemovedAt      time.Duration      `json:"ended_at,omitempty"`
	// Quarantined entries stay listed although their leases have expired, because too many would
	// have expired at once.
	Quarantined bool `json:"held,omitempty"`
	// QuarantinedByService is set in addition to Quarantined if the mass failure affects only the
	// entry's service.
	QuarantinedByService bool            `json:"held_by_service,omitempty"`
	Removals             []time.Duration `json:"ends,omitempty"`   // times of the last maxRemovals removals
	DampedUntil          time.Duration   `json:"damped,omitempty"` // end of the damping; 0 if not damped

	countedAsListed bool // whether State.listedCount and serviceIndex.listedCount include the entry
}

// Listed returns the endpoint as readers without a service subscription see it. Its service is
// cleared, so that such readers are sent the same bytes as before endpoints had a service.
func (e *Entry) Listed() endpoints.Endpoint {
	listed := e.Endpoint
	listed.Service = ""
	if e.WeightOverride != nil {
		listed.Weight = *e.WeightOverride
	}
	if e.HealthOverride != "" {
		listed.Health = e.HealthOverride
	}
	if !e.isListed() {
		listed.Health = endpoints.Removed
	}
	return listed
}

// ListedWithService returns the endpoint as readers that subscribe to its service see it.
func (e *Entry) ListedWithService() endpoints.Endpoint {
	listed := e.Listed()
	listed.Service = e.Endpoint.Service
	return listed
}

// isListed reports whether the entry is on the list.
func (e *Entry) isListed() bool { return !e.Removed && e.DampedUntil <= 0 }

// ref returns a reference to the entry's current instance.
func (e *Entry) ref() InstanceRef {
	return InstanceRef{Name: e.Endpoint.Name, StartedMs: e.Endpoint.StartedMs}
}

// isCurrentInstance reports whether ref identifies the entry's current instance and the entry is not
// removed. It returns false for a nil entry.
func (e *Entry) isCurrentInstance(ref InstanceRef) bool {
	return e != nil && !e.Removed && e.Endpoint.StartedMs == ref.StartedMs
}
