package control

import (
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"knotrouter/internal/catalog"
)

const (
	// maxServiceLabels is how many services have their own label value; all others share one.
	maxServiceLabels = 20
	// These label values contain a space, which no service name does.
	defaultServiceLabel = "default service"
	otherServicesLabel  = "other services"
)

// serviceCollector is a prometheus.Collector of the number of servers and watches of the largest
// services.
type serviceCollector struct {
	broadcaster     *watchBroadcaster
	listed, watches *prometheus.Desc
	services        *prometheus.Desc
}

func newServiceCollector(b *watchBroadcaster) *serviceCollector {
	labels := []string{"service"}
	return &serviceCollector{
		broadcaster: b,
		listed:      prometheus.NewDesc("steward_service_listed", "Servers that are listed, by service: the largest, and all others.", labels, nil),
		watches:     prometheus.NewDesc("steward_service_watches", "Watches that are open and subscribe to a service: the largest, and all others.", labels, nil),
		services:    prometheus.NewDesc("steward_services", "Services that have servers.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *serviceCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.listed
	ch <- c.watches
	ch <- c.services
}

// Collect implements prometheus.Collector.
func (c *serviceCollector) Collect(ch chan<- prometheus.Metric) {
	var sizes map[string]int
	c.broadcaster.fsm.read(func(state *catalog.State) { sizes = state.ServiceSizes() })
	ch <- prometheus.MustNewConstMetric(c.services, prometheus.GaugeValue, float64(len(sizes)))
	labelled := largestServices(sizes, maxServiceLabels)
	for label, count := range sumByLabel(sizes, labelled) {
		ch <- prometheus.MustNewConstMetric(c.listed, prometheus.GaugeValue, float64(count), label)
	}
	for label, count := range sumByLabel(c.broadcaster.services.watchesByService(), labelled) {
		ch <- prometheus.MustNewConstMetric(c.watches, prometheus.GaugeValue, float64(count), label)
	}
}

// largestServices returns the names of up to limit services with the most servers. Ties are broken by
// name.
func largestServices(sizes map[string]int, limit int) []string {
	names := make([]string, 0, len(sizes))
	for name := range sizes {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if sizes[a] != sizes[b] {
			return sizes[b] - sizes[a]
		}
		return strings.Compare(a, b)
	})
	return names[:min(len(names), limit)]
}

// sumByLabel sums the counts of the services by label value. labelled are the services that have
// their own label value.
func sumByLabel(counts map[string]int, labelled []string) map[string]int {
	sums := map[string]int{}
	for name, count := range counts {
		switch {
		case !slices.Contains(labelled, name):
			sums[otherServicesLabel] += count
		case name == "":
			sums[defaultServiceLabel] += count
		default:
			sums[name] += count
		}
	}
	return sums
}
