package endpoints

import (
	"errors"
	"fmt"
)

const (
	// MaxServices is the maximum number of services that one reader may subscribe to.
	MaxServices = 256
	// ServiceParam is the query parameter that names one service in a request for a list. It may be
	// repeated; an empty value is the default service.
	ServiceParam = "service"
	// ScopeHeader is set in the response of a list service that understood ServiceParam. A response
	// without it holds the list of all services.
	ScopeHeader = "Service-Scope"
)

// ServiceError reports an invalid service in a subscription.
type ServiceError struct {
	Index int   // position of the service in the subscription
	Err   error // why the service is invalid
}

// Error includes the position and the reason.
func (e *ServiceError) Error() string { return fmt.Sprintf("services[%d]: %v", e.Index, e.Err) }

// Unwrap returns the reason why the service is invalid.
func (e *ServiceError) Unwrap() error { return e.Err }

// CheckServices returns an error if a reader can't subscribe to the services: there must be at least
// one and at most MaxServices, and each must be a token, without duplicates. The empty name is valid
// and stands for the default service. If a single service is invalid, the error is a *ServiceError.
func CheckServices(services []string) error {
	if len(services) == 0 {
		return errors.New("services: none named")
	}
	if len(services) > MaxServices {
		return fmt.Errorf("services: %d of at most %d", len(services), MaxServices)
	}
	seen := make(map[string]bool, len(services))
	for i, service := range services {
		if !isLabel(service) {
			return &ServiceError{i, fmt.Errorf("must be at most %d printable characters without spaces or slashes: %q", MaxLabel, service)}
		}
		if seen[service] {
			return &ServiceError{i, fmt.Errorf("named twice: %q", service)}
		}
		seen[service] = true
	}
	return nil
}
