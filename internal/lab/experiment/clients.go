package experiment

import (
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/client"
)

// requestTally counts the finished requests by outcome, for reports of progress.
type requestTally struct {
	Requests, InTime, Late, Rejected, Failed int
}

// clientWaitSlack is added to the agents' answer slack to determine how long after its deadline a client
// still waits for an answer. Without it, the checker would not see answers that are too late.
const clientWaitSlack = 60 * time.Millisecond

// addClients creates a client for each agent or, in the fleet of a baseline, for each agent that the
// baseline stands in for.
func (fl *fleet) addClients(agents []string) error {
	prefix := "a"
	if fl.policy != "" {
		prefix = string(fl.policy[:2]) + "-"
	}
	env := &client.Env{Clock: fl.clock, Epoch: fl.epoch, Checker: fl.checker, Load: &fl.config.Load, IDPrefix: prefix,
		WaitSlack: fl.config.Rules.AnswerSlack + clientWaitSlack, Finished: fl.recordResult}
	for i := range agents {
		sender, err := fl.newSender(i)
		if err != nil {
			return err
		}
		fl.senders = append(fl.senders, sender)
		fl.clients = append(fl.clients, client.New(env, i, sender))
	}
	return nil
}

// newSender returns the sender of a client: one that sends to the agent or, in the fleet of a baseline, one
// that runs the baseline policy.
func (fl *fleet) newSender(agent int) (client.Sender, error) {
	if fl.policy == "" {
		return &client.AgentSender{Addr: fl.agents[agent].address, Clock: fl.clock}, nil
	}
	return client.NewBaseline(&client.Baseline{Policy: fl.policy, Clock: fl.clock, Epoch: fl.epoch, Load: &fl.config.Load,
		ConnectTimeout: fl.config.Rules.ConnectTimeout, List: func() endpoints.List { return fl.discovery.List(agent, 0, true) }},
		fl.seed+uint64(agent))
}

// recordResult records the result of a request. Clients call it from many goroutines.
func (fl *fleet) recordResult(r client.Result) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.results = append(fl.results, r)
	t := &fl.tally
	switch {
	case isVoid(&r):
		return
	case r.InTime:
		t.InTime++
	case r.Outcome == check.Served:
		t.Late++
	case r.Outcome == check.Rejected:
		t.Rejected++
	default:
		t.Failed++
	}
	t.Requests++
}

// currentTally returns the counts of the requests that have finished so far.
func (fl *fleet) currentTally() requestTally {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.tally
}
