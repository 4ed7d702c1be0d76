package server

import "time"

// Overload describes when a server that has too many requests in flight becomes overloaded, how
// slow it is then, and when it recovers.
type Overload struct {
	RequestsPerCore     float64       `koanf:"at"`      // threshold of the requests in flight for each core; 0: the server is never overloaded
	After               time.Duration `koanf:"over"`    // time above the threshold from which the server is overloaded
	Slowdown            float64       `koanf:"slower"`  // factor on the time that work takes meanwhile
	RecoveryUtilization float64       `koanf:"below"`   // utilization of a RecoveryPeriod below which the overload ends
	RecoveryPeriod      time.Duration `koanf:"rest"`    // the utilization is checked once in each such period
	MaxDuration         time.Duration `koanf:"at_most"` // the overload ends after this time at the latest
}

// Spec is the capacity of a server and what affects it. Work is in milliseconds of a standard core.
type Spec struct {
	Cores             int           `koanf:"cores"`
	Speed             float64       `koanf:"speed"`        // of each core; that of a standard core is 1
	Slots             int           `koanf:"slots"`        // requests that are worked on at once
	QueueCapacity     int           `koanf:"queue"`        // requests that wait for a slot
	ThrashFactor      float64       `koanf:"thrash"`       // added to the slowdown for each ThrashThreshold of requests above it
	ThrashThreshold   float64       `koanf:"thrash_at"`    // requests in flight for each core; 0: no thrashing
	WarmupStartFactor float64       `koanf:"cold_from"`    // part of its capacity that a server has when it starts
	WarmupDuration    time.Duration `koanf:"cold_for"`     // 0: a server starts with its full capacity
	WarmupWork        float64       `koanf:"warm_by_work"` // work that ends the warm-up sooner; 0: time alone ends it
	Overload          Overload      `koanf:"choke"`
	AffinityGain      float64       `koanf:"affinity_gain"` // part of its work that a request with a recently used key saves
	AffinityTTL       time.Duration `koanf:"affinity_for"`  // time for which a key counts as recently used
	AffinityKeys      int           `koanf:"affinity_keys"` // keys that the server remembers
	PauseInterval     time.Duration `koanf:"pause_every"`   // from the end of a pause to the next; 0: no pauses
	PauseDuration     time.Duration `koanf:"pause_for"`
	CrashLoadMultiple float64       `koanf:"-"`          // of the capacity of a warming server, which it withstands (the contract's CrashLoadMultiple); 0: it never crashes
	CrashWindow       time.Duration `koanf:"-"`          // in which the work that arrives is added up
	CrashSlack        float64       `koanf:"fall_slack"` // work that the server withstands in addition, for random bursts
}
