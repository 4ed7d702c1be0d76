package catalog

import (
	"time"

	"knotrouter/internal/endpoints"
)

// Entry is a registered server, or a removed one whose name is still remembered.
type Entry struct {
	Endpoint       endpoints.Endpoint `json:"host"` // as the server registered it
	Version        int64              `json:"version"`
	WeightOverride *float64           `json:"share,omitempty"`  // set by an operator; nil: none
	HealthOverride string             `json:"health,omitempty"` // set by an operator; "": none
	Removed        bool               `json:"ended,omitempty"`
	RemovedAt      time.Duration      `json:"ended_at,omitempty"`
	// Quarantined entries stay listed though their leases have expired: too many would have expired
	// at once.
	Quarantined bool `json:"held,omitempty"`
	// QuarantinedByService is set besides Quarantined if the failure is of the service alone.
	QuarantinedByService bool            `json:"held_by_service,omitempty"`
	Removals             []time.Duration `json:"ends,omitempty"`   // times of the last removals
	DampedUntil          time.Duration   `json:"damped,omitempty"` // unlisted until then; 0: not damped

	countedAsListed bool // in the counts of listed entries of the state and of the service
}

// Listed returns the endpoint as readers without a service subscription see it. It has no
// service: such readers are sent the same bytes as before endpoints had one.
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

// ref refers to the entry's current instance.
func (e *Entry) ref() InstanceRef {
	return InstanceRef{Name: e.Endpoint.Name, StartedMs: e.Endpoint.StartedMs}
}

// isCurrentInstance reports whether ref is the entry's current instance, and that is not removed.
func (e *Entry) isCurrentInstance(ref InstanceRef) bool {
	return e != nil && !e.Removed && e.Endpoint.StartedMs == ref.StartedMs
}
