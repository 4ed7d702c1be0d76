package server

import "time"

// Overload describes when a server with too many requests in flight becomes overloaded, how slow it is
// then, and when it recovers.
type Overload struct {
	RequestsPerCore     float64       `koanf:"at"`      // threshold of the requests in flight per core; 0: never overloaded
	After               time.Duration `koanf:"over"`    // time above the threshold after which the server is overloaded
	Slowdown            float64       `koanf:"slower"`  // factor by which work takes longer during an overload
	RecoveryUtilization float64       `koanf:"below"`   // mean utilization in a RecoveryPeriod below which the overload ends
	RecoveryPeriod      time.Duration `koanf:"rest"`    // period after which the utilization is checked
	MaxDuration         time.Duration `koanf:"at_most"` // time after which the overload ends in any case
}

// Spec describes the capacity of a server and the effects that change it. Work is in milliseconds of a standard core.
type Spec struct {
	Cores             int           `koanf:"cores"`
	Speed             float64       `koanf:"speed"`        // speed of each core; a standard core has 1
	Slots             int           `koanf:"slots"`        // requests that run at the same time
	QueueCapacity     int           `koanf:"queue"`        // requests that can wait for a slot
	ThrashFactor      float64       `koanf:"thrash"`       // slowdown added for each ThrashThreshold of requests above ThrashThreshold
	ThrashThreshold   float64       `koanf:"thrash_at"`    // requests in flight per core; 0: no thrashing
	WarmupStartFactor float64       `koanf:"cold_from"`    // share of its capacity that a server has when it starts
	WarmupDuration    time.Duration `koanf:"cold_for"`     // 0: no warm-up
	WarmupWork        float64       `koanf:"warm_by_work"` // work that ends the warm-up sooner; 0: time alone ends it
	Overload          Overload      `koanf:"choke"`
	AffinityGain      float64       `koanf:"affinity_gain"` // share of the work that a recently used key saves
	AffinityTTL       time.Duration `koanf:"affinity_for"`  // time for which a key counts as recently used
	AffinityKeys      int           `koanf:"affinity_keys"` // keys that the server remembers
	PauseInterval     time.Duration `koanf:"pause_every"`   // time from the end of a pause to the next pause; 0: no pauses
	PauseDuration     time.Duration `koanf:"pause_for"`
	CrashLoadMultiple float64       `koanf:"-"`          // multiple of its capacity that a warming server withstands, set from the rules; 0: no crash
	CrashWindow       time.Duration `koanf:"-"`          // window over which the arriving work is summed
	CrashSlack        float64       `koanf:"fall_slack"` // additional work that a warming server withstands, for random bursts
}
