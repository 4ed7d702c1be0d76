package endpoints

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
)

const (
	// MaxServices is how many services one reader may subscribe to.
	MaxServices = 256
	// ServiceParam names, in a request for a list, one service that the reader subscribes to.
	// It may be repeated; an empty value is the default service.
	ServiceParam = "service"
	// ScopeHeader is set on the answer by a list service that understood ServiceParam. An
	// answer without it is the list of all services.
	ScopeHeader = "Service-Scope"
)

// ServiceError reports which service of a subscription can't be subscribed to.
type ServiceError struct {
	Index int
	Err   error
}

func (e *ServiceError) Error() string { return fmt.Sprintf("services[%d]: %v", e.Index, e.Err) }

func (e *ServiceError) Unwrap() error { return e.Err }

// CheckServices tells whether a reader can subscribe to the services. The empty name is the
// default service. A service that can't be subscribed to is reported as a *ServiceError.
func CheckServices(services []string) error {
	if len(services) == 0 {
		return errors.New("services: none named")
	}
	if len(services) > MaxServices {
		return fmt.Errorf("services: %d of at most %d", len(services), MaxServices)
	}
	seen := make(map[string]bool, len(services))
	for i, service := range services {
		if service != "" && !IsToken(service, MaxLabel) {
			return &ServiceError{i, fmt.Errorf("must be at most %d printable characters without spaces or slashes: %q", MaxLabel, service)}
		}
		if seen[service] {
			return &ServiceError{i, fmt.Errorf("named twice: %q", service)}
		}
		seen[service] = true
	}
	return nil
}

// subscription is what a client asks the list service for.
type subscription struct {
	services   []string // sorted; nil: the list of all services
	number     uint64   // counts the changes of services
	minVersion int64    // the reader's version at the last change
	// needsFullList: what the reader holds is no base for changes of these services, so the next
	// watch has to begin with a whole list.
	needsFullList bool
	// sendsVersion: the next watch names the reader's version although it wants a whole list. The
	// last answer was older than that version, and the list service raises its own only when
	// a reader names a later one.
	sendsVersion bool
}

func newSubscription(services []string) subscription {
	return subscription{services: sortedServices(services), needsFullList: services != nil}
}

// replace makes these the services from now on; least is the reader's version.
func (s *subscription) replace(services []string, version int64) {
	*s = subscription{services: sortedServices(services), number: s.number + 1, minVersion: version, needsFullList: true}
}

// requiredVersion is the version that a list must not be older than, for a reader that has since.
func (s *subscription) requiredVersion(since int64) int64 {
	if s.number == 0 {
		return since
	}
	return max(since, s.minVersion)
}

// fetchQuery is the query of a request for the whole list.
func (s *subscription) fetchQuery() string {
	if s.services == nil {
		return ""
	}
	return "?" + s.serviceParams()
}

// watchQuery is the query of a watch by a reader that has the version since.
func (s *subscription) watchQuery(since int64) string {
	since = s.requiredVersion(since)
	if s.needsFullList && !s.sendsVersion {
		since = 0
	}
	query := "?follow=1&since=" + strconv.FormatInt(since, 10)
	if s.services == nil {
		return query
	}
	return query + "&" + s.serviceParams()
}

func (s *subscription) serviceParams() string {
	return url.Values{ServiceParam: s.services}.Encode()
}

// listReceived is told of a list that was taken from a watch. Only a list of the reader's services is a
// base for later changes of them: the list of all services may leave out whose an entry is.
func (s *subscription) listReceived(list *List) {
	switch {
	case s.services != nil && !list.Scoped:
		s.needsFullList = true
	case list.Full:
		s.needsFullList = false
	}
}

func sortedServices(services []string) []string {
	services = slices.Clone(services)
	slices.Sort(services)
	return services
}
