package endpoints

import (
	"net/url"
	"slices"
	"strconv"
)

// subscription is the set of services that a client requests, and how its next watch requests them.
type subscription struct {
	services   []string // sorted; nil: the list of all services
	number     uint64   // number of changes of the services so far
	minVersion int64    // the reader's version at the last change of the services
	// needsFullList means that the reader holds no list to which changes of these services could be
	// applied, so the next watch has to begin with a full list.
	needsFullList bool
	// sendsVersion means that the next watch sends the reader's version although it needs a full
	// list. The last response was older than that version, and the list service raises its own
	// version only when a reader sends a later one.
	sendsVersion bool
}

func newSubscription(services []string) subscription {
	return subscription{services: sortedServices(services), needsFullList: services != nil}
}

// replace replaces the services; version is the reader's version.
func (s *subscription) replace(services []string, version int64) {
	*s = subscription{services: sortedServices(services), number: s.number + 1, minVersion: version, needsFullList: true}
}

// requiredVersion returns the lowest acceptable version of a list for a reader with the version since.
func (s *subscription) requiredVersion(since int64) int64 {
	if s.number == 0 {
		return since
	}
	return max(since, s.minVersion)
}

// fetchQuery returns the query of a request for the full list.
func (s *subscription) fetchQuery() string {
	if s.services == nil {
		return ""
	}
	return "?" + s.serviceParams()
}

// watchQuery returns the query of a watch by a reader with the version since. The version 0 requests a
// full list first.
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

// listReceived records a list that the reader accepted from a watch. Later changes apply only to a
// list of the reader's services, because the list of all services may omit which service an entry
// belongs to.
func (s *subscription) listReceived(list *List) {
	switch {
	case s.services != nil && !list.Scoped:
		s.needsFullList = true
	case list.Full:
		s.needsFullList = false
	}
}

// sortedServices returns a sorted copy of services, or nil if services is nil.
func sortedServices(services []string) []string {
	services = slices.Clone(services)
	slices.Sort(services)
	return services
}
