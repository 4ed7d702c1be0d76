package control

import (
	"knotrouter/internal/catalog"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics is what a steward counts.
type metrics struct {
	registry  *prometheus.Registry
	elections prometheus.Counter
	commit    prometheus.Histogram
	decided   *prometheus.CounterVec
	calls     *prometheus.CounterVec
	moved     prometheus.Counter
	hands     *prometheus.CounterVec
	saved     prometheus.Counter
	audited   prometheus.Counter
	unlike    prometheus.Gauge
	changes   *prometheus.CounterVec
	conflicts prometheus.Counter
	replaced  prometheus.Counter
}

func newMetrics(n *Server) *metrics {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f := promauto.With(r)
	gauge := func(name, help string, of func(st *Status) float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_" + name, Help: help}, func() float64 {
			st := n.status()
			return of(&st)
		})
	}
	gauge("version", "The version of the list that is served.", func(st *Status) float64 { return float64(st.Seq) })
	gauge("listed", "Servers that are listed.", func(st *Status) float64 { return float64(st.Listed) })
	gauge("held", "Servers that are listed though their leases ended: a mass failure that nobody has confirmed.", func(st *Status) float64 { return float64(st.Quarantined) })
	gauge("damped", "Servers that are kept off the list for coming and going.", func(st *Status) float64 { return float64(st.Damped) })
	gauge("watches", "Watches that are open.", func(st *Status) float64 { return float64(st.Watches) })
	gauge("leads", "1 while this steward leads.", func(st *Status) float64 { return truth(st.State == "leader") })
	gauge("stale", "1 while it has been without the quorum for longer than its bound.", func(st *Status) float64 { return truth(st.Stale) })
	gauge("lag_seconds", "Since the leader had committed what is not applied here.", func(st *Status) float64 { return float64(st.LagMs) / 1000 })
	gauge("silence_seconds", "Since the leader was heard last.", func(st *Status) float64 { return float64(st.SinceLeaderContactMs) / 1000 })
	fanOut := func(name, help string, of func(h *hub) int64) {
		f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_" + name, Help: help}, func() float64 {
			n.hub.mu.Lock()
			defer n.hub.mu.Unlock()
			return float64(of(n.hub))
		})
	}
	fanOut("lines_encoded_total", "Lists and changes that were encoded.", func(h *hub) int64 { return h.encoded })
	fanOut("lines_sent_total", "Changes that were written to watches.", func(h *hub) int64 { return h.sent })
	fanOut("watches_lagged_total", "Times that a watch was too far behind and got the whole list.", func(h *hub) int64 { return h.lagged })
	scoped := func(name, help string, of func(t *topics) int64) {
		f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_scoped_" + name, Help: help}, func() float64 {
			n.hub.topics.mu.Lock()
			defer n.hub.topics.mu.Unlock()
			return float64(of(n.hub.topics))
		})
	}
	scoped("events_encoded_total", "Changes of a service that were encoded.", func(t *topics) int64 { return t.encoded })
	scoped("lines_sent_total", "Lists and changes that were written to watches of services.", func(t *topics) int64 { return t.sent })
	scoped("bytes_sent_total", "Bytes of the lists and changes that were written to watches of services.", func(t *topics) int64 { return t.sentBytes })
	scoped("watches_lagged_total", "Times that a watch of services was too far behind and got the whole list of them.", func(t *topics) int64 { return t.lagged })
	f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_scoped_lists_encoded_total", Help: "Whole lists of a service that were encoded."}, func() float64 {
		c := n.hub.topics.cache
		c.mu.Lock()
		defer c.mu.Unlock()
		return float64(c.encoded)
	})
	f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_scoped_watches", Help: "Watches of services that are open."}, func() float64 {
		n.hub.topics.mu.Lock()
		defer n.hub.topics.mu.Unlock()
		return float64(n.hub.topics.watches)
	})
	f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_watches_limit", Help: "Watches that may be open: what is configured, if there are descriptors for them."},
		func() float64 { return float64(n.calls.maxWatches) })
	r.MustRegister(newServiceCollector(n.hub))
	f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_calls_refused_total", Help: "Calls sent away because there were too many."},
		func() float64 { return float64(n.calls.refused.Load()) })
	f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_duties_held_here", Help: "Duties whose functions run here."}, func() float64 {
		if n.holder == nil {
			return 0
		}
		return float64(n.holder.Active())
	})
	f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_duties_overdue_total", Help: "Functions of duties that did not return in time."}, func() float64 {
		if n.holder == nil {
			return 0
		}
		return float64(n.holder.Overdue())
	})
	for name, of := range map[string]func(d *catalog.LeasedTask) bool{"held": func(d *catalog.LeasedTask) bool { return d.Holder != "" },
		"free": func(d *catalog.LeasedTask) bool { return d.Holder == "" && d.SuspendReason == "" }, "parked": func(d *catalog.LeasedTask) bool { return d.SuspendReason != "" }} {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_duties_" + name, Help: "Duties that are " + name + "."}, func() (count float64) {
			n.fsm.read(func(s *catalog.State) {
				for _, d := range s.LeasedTasks {
					count += truth(of(d))
				}
			})
			return count
		})
	}
	for _, kind := range []string{"old", "held", "suspects", "wrongs", "full", "strange", "pauses", "rubbish", "refused", "conflicts", "unknown", "dropped", "sent_bytes"} {
		f.NewCounterFunc(prometheus.CounterOpts{Name: "steward_gossip_" + kind + "_total", Help: gossipHelp[kind]},
			func() float64 { return n.gossipCounts()[kind] })
	}
	r.MustRegister(&memberGauge{n, prometheus.NewDesc("steward_members", "Members in this steward's view, by role and state.", []string{"role", "state"}, nil)})
	for name, of := range map[string]func(l *catalog.RegistrationLeases) int{"kept": func(l *catalog.RegistrationLeases) int { return l.Retained }, "waiting": func(l *catalog.RegistrationLeases) int { return l.Undecided }} {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: "steward_leases_" + name, Help: "Servers whose leases are over and that stay: most see them (kept), or too little is known (waiting)."}, func() float64 {
			n.lead.Lock()
			defer n.lead.Unlock()
			if n.leases == nil {
				return 0
			}
			return float64(of(n.leases))
		})
	}
	return &metrics{registry: r,
		changes:   f.NewCounterVec(prometheus.CounterOpts{Name: "steward_member_changes_total", Help: "Changes of members' states in the view."}, []string{"role", "state"}),
		conflicts: f.NewCounter(prometheus.CounterOpts{Name: "steward_name_conflicts_total", Help: "Times that a second process of a name was heard."}),
		replaced:  f.NewCounter(prometheus.CounterOpts{Name: "steward_voter_steps_total", Help: "Steps by which voters were replaced."}),
		hands:     f.NewCounterVec(prometheus.CounterOpts{Name: "steward_duties_decided_total", Help: "What the leader decided on duties, by command."}, []string{"command"}),
		saved:     f.NewCounter(prometheus.CounterOpts{Name: "steward_copies_saved_total", Help: "Copies of the state that were kept."}),
		audited:   f.NewCounter(prometheus.CounterOpts{Name: "steward_audits_total", Help: "Times that the list was compared with what servers say."}),
		unlike:    f.NewGauge(prometheus.GaugeOpts{Name: "steward_audit_unlike", Help: "Servers that are listed as ready and did not say so at the last audit."}),
		elections: f.NewCounter(prometheus.CounterOpts{Name: "steward_terms_led_total", Help: "Times that this steward began to lead."}),
		moved:     f.NewCounter(prometheus.CounterOpts{Name: "steward_watches_moved_total", Help: "Watches that were sent to other stewards, a few at a time."}),
		commit: f.NewHistogram(prometheus.HistogramOpts{Name: "steward_commit_seconds", Help: "From a proposal to its result.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14)}),
		decided: f.NewCounterVec(prometheus.CounterOpts{Name: "steward_decided_total", Help: "Servers that the leader decided on, by command."}, []string{"command"}),
		calls:   f.NewCounterVec(prometheus.CounterOpts{Name: "steward_calls_total", Help: "Calls by kind and status."}, []string{"kind", "status"})}
}

var gossipHelp = map[string]string{"old": "News of an earlier life of a member, which changed nothing.",
	"held": "Ends that were not believed at first: too many at once, or this process was slow.", "suspects": "Members that became suspect here.",
	"wrongs": "Suspects that were present again without having ended.", "full": "Members that there was no room for.",
	"strange": "Reports by somebody who is no steward.", "pauses": "Times that this process stood still.", "rubbish": "Messages that made no sense, or of a form that isn't read.",
	"refused": "Words of members that the configuration doesn't name.", "conflicts": "Words of a second process of a name.",
	"unknown": "Sends to names that the table doesn't have.", "dropped": "Messages that came while the queue was full.", "sent_bytes": "Bytes that gossip sent."}

// memberGauge counts the view's members when it is asked.
type memberGauge struct {
	n    *Server
	desc *prometheus.Desc
}

func (g *memberGauge) Describe(ch chan<- *prometheus.Desc) { ch <- g.desc }

func (g *memberGauge) Collect(ch chan<- prometheus.Metric) {
	if g.n.gossip == nil {
		return
	}
	v := g.n.gossip.View()
	count := map[[2]string]int{}
	for i := range v.Members {
		count[[2]string{string(v.Members[i].Role), string(v.Members[i].State)}]++
	}
	for key, c := range count {
		ch <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, float64(c), key[0], key[1])
	}
}

func truth(is bool) float64 {
	if is {
		return 1
	}
	return 0
}
