package control

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"knotrouter/internal/catalog"
)

// metricPrefix is the prefix of the names of all metrics.
const metricPrefix = "steward_"

// commitBuckets are the upper bounds of the histogram of commit times, in seconds.
var commitBuckets = prometheus.ExponentialBuckets(0.0005, 2, 14)

// metrics holds the metrics that the server updates as it runs. All others are read from the
// server at collection.
type metrics struct {
	registry         *prometheus.Registry
	electionsWon     prometheus.Counter
	commitSeconds    prometheus.Histogram
	leaseDecisions   *prometheus.CounterVec // label: command
	taskDecisions    *prometheus.CounterVec // label: command
	calls            *prometheus.CounterVec // labels: kind and status, which is the outcome
	watchesMigrated  prometheus.Counter
	savedCopies      prometheus.Counter
	audits           prometheus.Counter
	auditMismatches  prometheus.Gauge
	memberChanges    *prometheus.CounterVec // labels: role and state
	nameConflicts    prometheus.Counter
	reconfigurations prometheus.Counter
}

// newMetrics returns the metrics of a server, in a registry of its own.
func newMetrics(s *Server) *metrics {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f := promauto.With(r)
	addStatusMetrics(f, s)
	addWatchMetrics(f, s)
	addServiceWatchMetrics(f, s)
	addTaskMetrics(f, s)
	addGossipMetrics(f, s)
	addLeaseMetrics(f, s)
	r.MustRegister(newServiceCollector(s.broadcaster), newMemberCollector(s))
	return &metrics{
		registry:         r,
		memberChanges:    newCounterVec(f, "member_changes_total", "Changes of members' states in the view.", "role", "state"),
		nameConflicts:    newCounter(f, "name_conflicts_total", "Times that a second process of a name was heard."),
		reconfigurations: newCounter(f, "voter_steps_total", "Steps by which voters were replaced."),
		taskDecisions:    newCounterVec(f, "duties_decided_total", "What the leader decided on duties, by command.", "command"),
		savedCopies:      newCounter(f, "copies_saved_total", "Copies of the state that were kept."),
		audits:           newCounter(f, "audits_total", "Times that the list was compared with what servers say."),
		auditMismatches:  f.NewGauge(prometheus.GaugeOpts{Name: metricPrefix + "audit_unlike", Help: "Servers that are listed as ready and did not say so at the last audit."}),
		electionsWon:     newCounter(f, "terms_led_total", "Times that this steward began to lead."),
		watchesMigrated:  newCounter(f, "watches_moved_total", "Watches that were sent to other stewards, a few at a time."),
		commitSeconds:    f.NewHistogram(prometheus.HistogramOpts{Name: metricPrefix + "commit_seconds", Help: "From a proposal to its result.", Buckets: commitBuckets}),
		leaseDecisions:   newCounterVec(f, "decided_total", "Servers that the leader decided on, by command.", "command"),
		calls:            newCounterVec(f, "calls_total", "Calls by kind and status.", "kind", "status"),
	}
}

func newCounter(f promauto.Factory, name, help string) prometheus.Counter {
	return f.NewCounter(prometheus.CounterOpts{Name: metricPrefix + name, Help: help})
}

func newCounterVec(f promauto.Factory, name, help string, labels ...string) *prometheus.CounterVec {
	return f.NewCounterVec(prometheus.CounterOpts{Name: metricPrefix + name, Help: help}, labels)
}

// addGauge adds a gauge whose value is read at collection.
func addGauge(f promauto.Factory, name, help string, read func() float64) {
	f.NewGaugeFunc(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help}, read)
}

// addCounter adds a counter whose value is read at collection.
func addCounter(f promauto.Factory, name, help string, read func() float64) {
	f.NewCounterFunc(prometheus.CounterOpts{Name: metricPrefix + name, Help: help}, read)
}

// addStatusMetrics adds the gauges of the server's status.
func addStatusMetrics(f promauto.Factory, s *Server) {
	add := func(name, help string, read func(st *Status) float64) {
		addGauge(f, name, help, func() float64 {
			st := s.status()
			return read(&st)
		})
	}
	add("version", "The version of the list that is served.", func(st *Status) float64 { return float64(st.Seq) })
	add("listed", "Servers that are listed.", func(st *Status) float64 { return float64(st.Listed) })
	add("held", "Servers that are listed though their leases ended: a mass failure that nobody has confirmed.", func(st *Status) float64 { return float64(st.Quarantined) })
	add("damped", "Servers that are kept off the list for coming and going.", func(st *Status) float64 { return float64(st.Damped) })
	add("watches", "Watches that are open.", func(st *Status) float64 { return float64(st.Watches) })
	add("leads", "1 while this steward leads.", func(st *Status) float64 { return boolValue(st.State == stateLeader) })
	add("stale", "1 while it has been without the quorum for longer than its bound.", func(st *Status) float64 { return boolValue(st.Stale) })
	add("lag_seconds", "Since the leader had committed what is not applied here.", func(st *Status) float64 { return float64(st.LagMs) / 1000 })
	add("silence_seconds", "Since the leader was heard last.", func(st *Status) float64 { return float64(st.SinceLeaderContactMs) / 1000 })
}

// addWatchMetrics adds the metrics of the watches of the full list, and of admission.
func addWatchMetrics(f promauto.Factory, s *Server) {
	add := func(name, help string, read func(b *watchBroadcaster) int64) {
		addCounter(f, name, help, func() float64 {
			s.broadcaster.mu.Lock()
			defer s.broadcaster.mu.Unlock()
			return float64(read(s.broadcaster))
		})
	}
	add("lines_encoded_total", "Lists and changes that were encoded.", func(b *watchBroadcaster) int64 { return b.encodedCount })
	add("lines_sent_total", "Changes that were written to watches.", func(b *watchBroadcaster) int64 { return b.sentCount })
	add("watches_lagged_total", "Times that a watch was too far behind and got the whole list.", func(b *watchBroadcaster) int64 { return b.laggedCount })
	addGauge(f, "watches_limit", "Watches that may be open: what is configured, if there are descriptors for them.",
		func() float64 { return float64(s.admission.maxWatches) })
	addCounter(f, "calls_refused_total", "Calls sent away because there were too many.",
		func() float64 { return float64(s.admission.rejectedCalls.Load()) })
}

// addServiceWatchMetrics adds the metrics of the watches that subscribe to services.
func addServiceWatchMetrics(f promauto.Factory, s *Server) {
	topics := s.broadcaster.services
	locked := func(read func(t *serviceTopics) int64) func() float64 {
		return func() float64 {
			topics.mu.Lock()
			defer topics.mu.Unlock()
			return float64(read(topics))
		}
	}
	addCounter(f, "scoped_events_encoded_total", "Changes of a service that were encoded.",
		locked(func(t *serviceTopics) int64 { return t.encodedCount }))
	addCounter(f, "scoped_lines_sent_total", "Lists and changes that were written to watches of services.",
		locked(func(t *serviceTopics) int64 { return t.sentCount }))
	addCounter(f, "scoped_bytes_sent_total", "Bytes of the lists and changes that were written to watches of services.",
		locked(func(t *serviceTopics) int64 { return t.sentBytes }))
	addCounter(f, "scoped_watches_lagged_total", "Times that a watch of services was too far behind and got the whole list of them.",
		locked(func(t *serviceTopics) int64 { return t.laggedCount }))
	addGauge(f, "scoped_watches", "Watches of services that are open.",
		locked(func(t *serviceTopics) int64 { return int64(t.watchCount) }))
	addCounter(f, "scoped_lists_encoded_total", "Whole lists of a service that were encoded.", func() float64 {
		topics.fullLists.mu.Lock()
		defer topics.fullLists.mu.Unlock()
		return float64(topics.fullLists.encodedCount)
	})
}

// addTaskMetrics adds the metrics of leased tasks: those of the control plane's own tasks that run
// on this server, and the number of all tasks by state.
func addTaskMetrics(f promauto.Factory, s *Server) {
	addGauge(f, "duties_held_here", "Duties whose functions run here.", func() float64 {
		runner := s.taskRunner.Load()
		if runner == nil {
			return 0
		}
		return float64(runner.Active())
	})
	addCounter(f, "duties_overdue_total", "Functions of duties that did not return in time.", func() float64 {
		runner := s.taskRunner.Load()
		if runner == nil {
			return 0
		}
		return float64(runner.Overdue())
	})
	for state, inState := range map[string]func(t *catalog.LeasedTask) bool{
		"held":   func(t *catalog.LeasedTask) bool { return t.Holder != "" },
		"free":   func(t *catalog.LeasedTask) bool { return t.Holder == "" && t.SuspendReason == "" },
		"parked": func(t *catalog.LeasedTask) bool { return t.SuspendReason != "" },
	} {
		addGauge(f, "duties_"+state, "Duties that are "+state+".", func() (count float64) {
			s.fsm.read(func(replicated *catalog.State) {
				for _, t := range replicated.LeasedTasks {
					count += boolValue(inState(t))
				}
			})
			return count
		})
	}
}

// gossipHelp holds the help texts of the gossip counters, by the name in the metric.
var gossipHelp = map[string]string{
	"old":        "News of an earlier life of a member, which changed nothing.",
	"held":       "Ends that were not believed at first: too many at once, or this process was slow.",
	"suspects":   "Members that became suspect here.",
	"wrongs":     "Suspects that were present again without having ended.",
	"full":       "Members that there was no room for.",
	"strange":    "Reports by somebody who is no steward.",
	"pauses":     "Times that this process stood still.",
	"rubbish":    "Messages that made no sense, or of a form that isn't read.",
	"refused":    "Words of members that the configuration doesn't name.",
	"conflicts":  "Words of a second process of a name.",
	"unknown":    "Sends to names that the table doesn't have.",
	"dropped":    "Messages that came while the queue was full.",
	"sent_bytes": "Bytes that gossip sent.",
}

// addGossipMetrics adds the counters of gossip.
func addGossipMetrics(f promauto.Factory, s *Server) {
	for name, help := range gossipHelp {
		addCounter(f, "gossip_"+name+"_total", help, func() float64 { return s.gossipCounts()[name] })
	}
}

// addLeaseMetrics adds gauges of the servers that stay listed although their leases have expired.
func addLeaseMetrics(f promauto.Factory, s *Server) {
	for name, read := range map[string]func(l *catalog.RegistrationLeases) int{
		"kept":    func(l *catalog.RegistrationLeases) int { return l.Retained },
		"waiting": func(l *catalog.RegistrationLeases) int { return l.Undecided },
	} {
		addGauge(f, "leases_"+name, "Servers whose leases are over and that stay: most see them (kept), or too little is known (waiting).", func() float64 {
			s.leaderMu.Lock()
			defer s.leaderMu.Unlock()
			if s.registrationLeases == nil {
				return 0
			}
			return float64(read(s.registrationLeases))
		})
	}
}

// memberCollector is a prometheus.Collector that counts members by role and state.
type memberCollector struct {
	server *Server
	desc   *prometheus.Desc
}

func newMemberCollector(s *Server) *memberCollector {
	return &memberCollector{s, prometheus.NewDesc(metricPrefix+"members", "Members in this steward's view, by role and state.", []string{"role", "state"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *memberCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.desc }

// Collect implements prometheus.Collector.
func (c *memberCollector) Collect(ch chan<- prometheus.Metric) {
	if c.server.gossip() == nil {
		return
	}
	type roleState struct{ role, state string }
	view := c.server.gossip().View()
	counts := map[roleState]int{}
	for i := range view.Members {
		counts[roleState{string(view.Members[i].Role), string(view.Members[i].State)}]++
	}
	for key, count := range counts {
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(count), key.role, key.state)
	}
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
