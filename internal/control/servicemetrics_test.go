package control

import (
	"fmt"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// The largest services have their own label values, whatever their names. All others share one.
func TestServiceMetricsLabelLargestServices(t *testing.T) {
	fixture := newFSMFixture(t)
	for i := range 30 {
		service := fmt.Sprintf("service-%02d", i)
		for j := range i + 1 {
			fixture.registerInService(t, service, fmt.Sprintf("%s-%d", service, j), 1)
		}
	}
	for i := range 40 {
		fixture.register(t, fmt.Sprint("plain-", i), 1)
		fixture.registerInService(t, "other", fmt.Sprint("other-", i), 1)
	}
	fixture.broadcaster.services.subscribe([]string{"other", "service-00", "unknown"})
	registry := prometheus.NewRegistry()
	registry.MustRegister(newServiceCollector(fixture.broadcaster))
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.Metric {
			label := ""
			if len(m.Label) > 0 {
				label = m.Label[0].GetValue()
			}
			got[f.GetName()+" "+label] = m.Gauge.GetValue()
		}
	}
	want := map[string]float64{"steward_services ": 32, "steward_service_listed default service": 40, "steward_service_listed other": 40,
		"steward_service_listed service-29": 30, "steward_service_listed other services": 12 * 13 / 2, "steward_service_watches other": 1, "steward_service_watches other services": 2}
	for key, value := range want {
		if got[key] != value {
			t.Errorf("metric %s is %v, want %v", key, got[key], value)
		}
	}
	labels := 0
	for key := range got {
		if strings.HasPrefix(key, "steward_service_listed ") {
			labels++
		}
	}
	if labels != maxServiceLabels+1 {
		t.Errorf("%d label values for services", labels)
	}
}
