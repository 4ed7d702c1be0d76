package hollow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"knotrouter/internal/control"
)

const (
	maxChangesPerSecond = 1000
	// idlePollInterval is the interval at which the rates are read again while both are 0.
	idlePollInterval = 50 * time.Millisecond
)

// Rates are the rates at which servers change.
type Rates struct {
	ConfigurationsPerSecond float64 `json:"configurations_per_second"`
	RestartsPerSecond       float64 `json:"restarts_per_second"`
}

func (r Rates) total() float64 { return r.ConfigurationsPerSecond + r.RestartsPerSecond }

// valid reports whether the rates are numbers of at least 0 and their total is within the bound.
func (r Rates) valid() bool {
	return r.ConfigurationsPerSecond >= 0 && r.RestartsPerSecond >= 0 && !(r.total() > maxChangesPerSecond)
}

func (p *Servers) setRates(rates Rates) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rates = rates
}

func (p *Servers) currentRates() Rates {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rates
}

// generateChanges performs configuration changes and restarts at the current rates until the context ends.
// It takes the servers in turn, in an order drawn from the seed, and returns when all changes have ended.
func (p *Servers) generateChanges(ctx context.Context) {
	random := rand.New(rand.NewPCG(p.config.Seed, 1))
	order := random.Perm(p.config.Count)
	var running sync.WaitGroup
	defer running.Wait()
	turn := 0
	for {
		rates := p.currentRates()
		total := rates.total()
		if total == 0 {
			if !Sleep(ctx, idlePollInterval) {
				return
			}
			continue
		}
		if !Sleep(ctx, time.Duration(float64(time.Second)/total)) {
			return
		}
		index := order[turn%len(order)]
		turn++
		isRestart := random.Float64()*total < rates.RestartsPerSecond
		running.Go(func() {
			if isRestart {
				p.restart(ctx, index)
				return
			}
			p.overrideWeight(ctx, index)
		})
	}
}

// overrideWeight overrides the weight of a server that renews its lease, as an operator does.
func (p *Servers) overrideWeight(ctx context.Context, index int) {
	endpoint, renewing := p.endpointOf(index)
	if !renewing {
		return
	}
	weight := weightForTime(time.Now())
	if p.retryChange(ctx, func() error {
		_, err := p.clients[index%writerCount].SetOverride(ctx, endpoint.Name, control.ServerOverride{Weight: &weight})
		return err
	}) {
		p.counts.configurations.Add(1)
	}
}

// restart registers a new process of a server that renews its lease, under the same name.
func (p *Servers) restart(ctx context.Context, index int) {
	p.mu.Lock()
	s := &p.servers[index]
	renewing := s.renewing
	if renewing {
		s.endpoint.StartedMs = float64(time.Now().UnixMilli())
	}
	p.mu.Unlock()
	if !renewing {
		return
	}
	if p.retryChange(ctx, func() error {
		_, err := p.register(ctx, index%writerCount, index)
		return err
	}) {
		p.counts.restarts.Add(1)
	}
}
