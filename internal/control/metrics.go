package control

import (
	"knotrouter/internal/catalog"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics is what a steward counts.
type metrics struct {
	registry        *prometheus.Registry
	electionsWon    prometheus.Counter
	commitSeconds   prometheus.Histogram
	leaseDecisions  *prometheus.CounterVec
	calls           *prometheus.CounterVec
	watchesMigrated prometheus.Counter
	taskDecisions   *prometheus.CounterVec
	savedCopies     prometheus.Counter
	audits          prometheus.Counter
	auditMismatches prometheus.Gauge
	memberChanges   *prometheus.CounterVec
	nameConflicts   prometheus.Counter
	voterSteps      prometheus.Counter
}

func newMetrics(s *Server) *metrics {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f := promauto.With(r)
	gauge := func(name, help string, of func(st *Status) float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_" + name, Help: help}, func() float64 {
			st := s.status()
			return of(&st)
		})
	}
	gauge("version", "The version of the list that is served.", func(st *Status) float64 { return float64(st.Seq) })
	gauge("listed", "Servers that are listed.", func(st *Status) float64 { return float64(st.Listed) })
	gauge("held", "Servers that are listed though their leases ended: a mass failure that nobody has confirmed.", func(st *Status) float64 { return float64(st.Quarantined) })
	gauge("damped", "Servers that are kept off the list for coming and going.", func(st *Status) float64 { return float64(st.Damped) })
	gauge("watches", "Watches that are open.", func(st *Status) float64 { return float64(st.Watches) })
	gauge("leads", "1 while this steward leads.", func(st *Status) float64 { return boolValue(st.State == "leader") })
	gauge("stale", "1 while it has been without the quorum for longer than its bound.", func(st *Status) float64 { return boolValue(st.Stale) })
	gauge("lag_seconds", "Since the leader had committed what is not applied here.", func(st *Status) float64 { return float64(st.LagMs) / 1000 })
	gauge("silence_seconds", "Since the leader was heard last.", func(st *Status) float64 { return float64(st.SinceLeaderContactMs) / 1000 })
	fanOut := func(name, help string, of func(b *watchBroadcaster) int64) {
		f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_" + name, Help: help}, func() float64 {
			s.broadcaster.mu.Lock()
			defer s.broadcaster.mu.Unlock()
			return float64(of(s.broadcaster))
		})
	}
	fanOut("lines_encoded_total", "Lists and changes that were encoded.", func(b *watchBroadcaster) int64 { return b.encodedCount })
	fanOut("lines_sent_total", "Changes that were written to watches.", func(b *watchBroadcaster) int64 { return b.sentCount })
	fanOut("watches_lagged_total", "Times that a watch was too far behind and got the whole list.", func(b *watchBroadcaster) int64 { return b.laggedCount })
	scoped := func(name, help string, of func(t *serviceTopics) int64) {
		f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_scoped_" + name, Help: help}, func() float64 {
			s.broadcaster.services.mu.Lock()
			defer s.broadcaster.services.mu.Unlock()
			return float64(of(s.broadcaster.services))
		})
	}
	scoped("events_encoded_total", "Changes of a service that were encoded.", func(t *serviceTopics) int64 { return t.encodedCount })
	scoped("lines_sent_total", "Lists and changes that were written to watches of services.", func(t *serviceTopics) int64 { return t.sentCount })
	scoped("bytes_sent_total", "Bytes of the lists and changes that were written to watches of services.", func(t *serviceTopics) int64 { return t.sentBytes })
	scoped("watches_lagged_total", "Times that a watch of services was too far behind and got the whole list of them.", func(t *serviceTopics) int64 { return t.laggedCount })
	f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_scoped_lists_encoded_total", Help: "Whole lists of a service that were encoded."}, func() float64 {
		c := s.broadcaster.services.fullLists
		c.mu.Lock()
		defer c.mu.Unlock()
		return float64(c.encodedCount)
	})
	f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_scoped_watches", Help: "Watches of services that are open."}, func() float64 {
		s.broadcaster.services.mu.Lock()
		defer s.broadcaster.services.mu.Unlock()
		return float64(s.broadcaster.services.watchCount)
	})
	f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_watches_limit", Help: "Watches that may be open: what is configured, if there are descriptors for them."},
		func() float64 { return float64(s.admission.maxWatches) })
	r.MustRegister(newServiceCollector(s.broadcaster))
	f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_calls_refused_total", Help: "Calls sent away because there were too many."},
		func() float64 { return float64(s.admission.rejectedCalls.Load()) })
	f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_duties_held_here", Help: "Duties whose functions run here."}, func() float64 {
		if s.taskRunner == nil {
			return 0
		}
		return float64(s.taskRunner.Active())
	})
	f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_duties_overdue_total", Help: "Functions of duties that did not return in time."}, func() float64 {
		if s.taskRunner == nil {
			return 0
		}
		return float64(s.taskRunner.Overdue())
	})
	for name, of := range map[string]func(d *catalog.LeasedTask) bool{"held": func(d *catalog.LeasedTask) bool { return d.Holder != "" },
		"free": func(d *catalog.LeasedTask) bool { return d.Holder == "" && d.SuspendReason == "" }, "parked": func(d *catalog.LeasedTask) bool { return d.SuspendReason != "" }} {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_duties_" + name, Help: "Duties that are " + name + "."}, func() (count float64) {
			s.fsm.read(func(state *catalog.State) {
				for _, d := range state.LeasedTasks {
					count += boolValue(of(d))
				}
			})
			return count
		})
	}
	for _, kind := range []string{"old", "held", "suspects", "wrongs", "full", "strange", "pauses", "rubbish", "refused", "conflicts", "unknown", "dropped", "sent_bytes"} {
		f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_gossip_" + kind + "_total", Help: gossipHelp[kind]},
			func() float64 { return s.gossipCounts()[kind] })
	}
	r.MustRegister(&memberGauge{s, prometheus.NewDesc("steward_members", "Members in this steward's view, by role and state.", []string{"role", "state"}, nil)})
	for name, of := range map[string]func(l *catalog.RegistrationLeases) int{"kept": func(l *catalog.RegistrationLeases) int { return l.Retained }, "waiting": func(l *catalog.RegistrationLeases) int { return l.Undecided }} {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_leases_" + name, Help: "Servers whose leases are over and that stay: most see them (kept), or too little is known (waiting)."}, func() float64 {
			s.leaderMu.Lock()
			defer s.leaderMu.Unlock()
			if s.registrationLeases == nil {
				return 0
			}
			return float64(of(s.registrationLeases))
		})
	}
	return &metrics{registry: r,
		memberChanges:   f.NewCounterVec(prometheus.CounterOpts{Name: "steward_member_changes_total", Help: "Changes of members' states in the view."}, []string{"role", "state"}),
		nameConflicts:   f.NewCounter(prometheus.CounterOpts{Name: "steward_name_conflicts_total", Help: "Times that a second process of a name was heard."}),
		voterSteps:      f.NewCounter(prometheus.CounterOpts{Name: "steward_voter_steps_total", Help: "Steps by which voters were replaced."}),
		taskDecisions:   f.NewCounterVec(prometheus.CounterOpts{Name: "steward_duties_decided_total", Help: "What the leader decided on duties, by command."}, []string{"command"}),
		savedCopies:     f.NewCounter(prometheus.CounterOpts{Name: "steward_copies_saved_total", Help: "Copies of the state that were kept."}),
		audits:          f.NewCounter(prometheus.CounterOpts{Name: "steward_audits_total", Help: "Times that the list was compared with what servers say."}),
		auditMismatches: f.NewGauge(prometheus.GaugeOpts{Name: "steward_audit_unlike", Help: "Servers that are listed as ready and did not say so at the last audit."}),
		electionsWon:    f.NewCounter(prometheus.CounterOpts{Name: "steward_terms_led_total", Help: "Times that this steward began to lead."}),
		watchesMigrated: f.NewCounter(prometheus.CounterOpts{Name: "steward_watches_moved_total", Help: "Watches that were sent to other stewards, a few at a time."}),
		commitSeconds: f.NewHistogram(prometheus.HistogramOpts{Name: "steward_commit_seconds", Help: "From a proposal to its result.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14)}),
		leaseDecisions: f.NewCounterVec(prometheus.CounterOpts{Name: "steward_decided_total", Help: "Servers that the leader decided on, by command."}, []string{"command"}),
		calls:          f.NewCounterVec(prometheus.CounterOpts{Name: "steward_calls_total", Help: "Calls by kind and status."}, []string{"kind", "status"})}
}

var gossipHelp = map[string]string{"old": "News of an earlier life of a member, which changed nothing.",
	"held": "Ends that were not believed at first: too many at once, or this process was slow.", "suspects": "Members that became suspect here.",
	"wrongs": "Suspects that were present again without having ended.", "full": "Members that there was no room for.",
	"strange": "Reports by somebody who is no steward.", "pauses": "Times that this process stood still.", "rubbish": "Messages that made no sense, or of a form that isn't read.",
	"refused": "Words of members that the configuration doesn't name.", "conflicts": "Words of a second process of a name.",
	"unknown": "Sends to names that the table doesn't have.", "dropped": "Messages that came while the queue was full.", "sent_bytes": "Bytes that gossip sent."}

// memberGauge counts the view's members when it is asked.
type memberGauge struct {
	server *Server
	desc   *prometheus.Desc
}

func (g *memberGauge) Describe(ch chan<- *prometheus.Desc) { ch <- g.desc }

func (g *memberGauge) Collect(ch chan<- prometheus.Metric) {
	if g.server.gossip == nil {
		return
	}
	v := g.server.gossip.View()
	count := map[[2]string]int{}
	for i := range v.Members {
		count[[2]string{string(v.Members[i].Role), string(v.Members[i].State)}]++
	}
	for key, c := range count {
		ch <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, float64(c), key[0], key[1])
	}
}

func boolValue(is bool) float64 {
	if is {
		return 1
	}
	return 0
}
