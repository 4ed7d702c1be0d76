package control

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/leaderelection"
)

const (
	auditTimeout        = time.Second // timeout of one health check
	maxConcurrentAudits = 16          // maximum number of concurrent health checks
)

// auditFunction returns the function of the audit task. At the configured interval, the task checks
// the health of each server that is listed as ready and logs the mismatches. It doesn't change the
// list: one observer is not enough evidence against a server.
func (s *Server) auditFunction(c *Client) leaderelection.Function {
	client := &http.Client{Timeout: auditTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return func(ctx context.Context, _ string, fence int64) error {
		if s.config.AuditEvery <= 0 {
			<-ctx.Done()
			return nil
		}
		for sleep(ctx, s.config.AuditEvery) {
			list, err := c.List(ctx)
			if err != nil {
				continue
			}
			mismatches := findMismatches(ctx, client, list.Endpoints)
			if ctx.Err() != nil {
				return nil
			}
			s.metrics.audits.Inc()
			s.metrics.auditMismatches.Set(float64(len(mismatches)))
			if len(mismatches) > 0 {
				s.log.Warn("audit found servers that are listed as ready and did not report ready",
					"count", len(mismatches), "listed", len(list.Endpoints), "server", mismatches[0], "fence", fence)
			}
		}
		return nil
	}
}

// findMismatches returns the sorted names of the servers that are listed as ready but fail a health
// check.
func findMismatches(ctx context.Context, client *http.Client, listed []endpoints.Endpoint) (mismatches []string) {
	slots := make(chan struct{}, maxConcurrentAudits)
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, endpoint := range listed {
		if endpoint.Health != endpoints.Ready {
			continue
		}
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			if !failsHealthCheck(ctx, client, endpoint.Dial) {
				return
			}
			mu.Lock()
			mismatches = append(mismatches, endpoint.Name)
			mu.Unlock()
		})
	}
	running.Wait()
	slices.Sort(mismatches)
	return mismatches
}

// failsHealthCheck reports whether a server answers a health check with a status other than 200, or
// not at all. It returns false if the address is invalid.
func failsHealthCheck(ctx context.Context, client *http.Client, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return true
	}
	resp.Body.Close()
	return resp.StatusCode != http.StatusOK
}
