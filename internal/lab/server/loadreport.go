package server

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"knotrouter/internal/endpoints"
)

// Names of the metrics in load reports.
const (
	metricUtilization = "util"
	metricInFlight    = "inflight"
	metricQueued      = "queue"
)

// maxLoadSamples bounds the number of samples that are kept. It is enough for the longest delay at the
// shortest interval.
const maxLoadSamples = 32

// loadSample is the load of a server at a point in time.
type loadSample struct {
	at               time.Duration
	utilization      float64
	inFlight, queued int
}

// sampleLoad samples the load at the interval of the reports until the context ends.
func (s *Server) sampleLoad(ctx context.Context) {
	defer s.background.Done()
	if s.LoadReports.Interval <= 0 {
		return
	}
	ticker := time.NewTicker(s.LoadReports.Interval)
	defer ticker.Stop()
	for {
		s.updateModel(s.addLoadSample)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// addLoadSample adds the model's current load to the samples. The caller holds s.mu.
func (s *Server) addLoadSample(m *Model, now time.Duration) {
	inFlight, queued := m.InFlight()
	if len(s.loadSamples) >= maxLoadSamples {
		s.loadSamples = s.loadSamples[1:]
	}
	s.loadSamples = append(s.loadSamples, loadSample{now, m.Utilization(), inFlight, queued})
}

// loadReport returns the text of a load report with noise, from the newest sample that is at least as
// old as the delay; "" before the first sample.
func (s *Server) loadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.loadSamples) == 0 {
		return ""
	}
	sample := s.reportedSample()
	var parts []string
	for _, metric := range s.LoadReports.Metrics {
		switch metric {
		case metricUtilization:
			parts = append(parts, fmt.Sprintf("util=%.3f", s.addReportNoise(sample.utilization)))
		case metricInFlight:
			parts = append(parts, fmt.Sprintf("inflight=%.0f", s.addReportNoise(float64(sample.inFlight))))
		case metricQueued:
			parts = append(parts, fmt.Sprintf("queue=%.0f", s.addReportNoise(float64(sample.queued))))
		}
	}
	return "TEXT " + strings.Join(parts, ", ")
}

// reportedSample returns the newest sample that is at least as old as the delay of the reports, or the
// oldest sample. The caller holds s.mu, and there must be a sample.
func (s *Server) reportedSample() loadSample {
	reported := 0
	latest := s.env.Clock() - s.LoadReports.Delay
	for i := range s.loadSamples {
		if s.loadSamples[i].at <= latest {
			reported = i
		}
	}
	return s.loadSamples[reported]
}

// addReportNoise returns the value with random noise. The caller holds s.mu.
func (s *Server) addReportNoise(value float64) float64 {
	return max(value*(1+s.LoadReports.Noise*s.rng.NormFloat64()), 0)
}

// serveProbe answers a probe of the health or the load. The work of a probe does not wait in the queue.
func (s *Server) serveProbe(w http.ResponseWriter, r *http.Request) {
	load := r.URL.Path == loadPath
	if r.Method != http.MethodGet || !s.LoadReports.ProbesEnabled || !load && r.URL.Path != healthPath || load && s.LoadReports.Mode == ReportOff {
		http.NotFound(w, r)
		return
	}
	s.Probes.Add(1)
	s.updateModel(func(m *Model, now time.Duration) { m.AddOverhead(now, s.LoadReports.ProbeWork) })
	status := http.StatusOK
	if s.Health() != endpoints.Ready {
		status = http.StatusServiceUnavailable
	}
	body := ""
	if load {
		body = s.loadReport()
	}
	writeText(w, status, body)
}
