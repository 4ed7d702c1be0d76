package policy

import (
	"fmt"
	"math"
)

// Effect tells whether a request of a class may be executed more than once. The string values of Effect and
// Group are fixed by the settings format; the constants have the usual names of the field.
type Effect string

// The effects of a class.
const (
	Idempotent    Effect = "free"        // safe to repeat
	Deduplicated  Effect = "guarded"     // has an idempotency key: a group of servers drops repeats for DedupWindowMs
	NonIdempotent Effect = "single_shot" // must never be executed twice
)

// Group is the set of servers that drop repeats of a request of a Deduplicated class.
type Group string

// The groups of a Deduplicated class.
const (
	GroupAll  Group = "all"
	GroupZone Group = "zone" // the servers in the zone of the first attempt's server
	GroupCell Group = "cell" // the servers in the cell of the first attempt's server
)

// Class is one class of requests. Its JSON keys are fixed by the settings format: "aim" is the target latency,
// "give up" the client's deadline, "key TTL" the deduplication window, and "credit" the value of one request.
type Class struct {
	Name          string  `json:"name"`
	TargetMs      float64 `json:"aimMs"`      // responses within this time earn the full credit
	TargetStretch float64 `json:"aimStretch"` // extra target time per ms of the request's cost hint
	DeadlineMs    float64 `json:"giveUpMs"`   // longest wait of a client, over all its tries
	Effect        Effect  `json:"effect"`
	Group         Group   `json:"group"`
	DedupWindowMs float64 `json:"keyTtlMs"` // runs from the send of the first attempt that may have been executed
	Credit        float64 `json:"credit"`
	LateShare     float64 `json:"lateShare"` // fraction of the credit earned between target and deadline
	Streamed      bool    `json:"streamed"`
}

// Tenant is a customer with a quota. The JSON key "portion" is fixed by the settings format: the tenant's
// fraction of the service.
type Tenant struct {
	Name          string  `json:"name"`
	QuotaPerS     float64 `json:"quotaPerS"` // requests per second over all agents
	QuotaFraction float64 `json:"portion"`
}

// Limits holds what a deployment permits an agent to do. In the JSON keys, which are fixed by the settings
// format, "tries" are attempts.
type Limits struct {
	Cancelling       bool    `json:"cancelling"`
	ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
	KeepaliveMs      float64 `json:"keepaliveMs"` // idle time after which a connection is closed
	MaxAttempts      int     `json:"maxAttempts"` // maximum attempts per request
	MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`
	ParallelAttempts bool    `json:"parallelTries"` // permits hedged requests
	Probing          bool    `json:"probing"`
	RetryAfter       bool    `json:"retryAfter"` // whether clients honour Retry-After
	OpenCap          int     `json:"openCap"`    // maximum open requests of an agent; 0: no limit
}

// Contract holds the parameters of the four rules that all agents must keep, such as the time to answer and the
// load on a server in slow start. In the JSON keys, which are fixed by the settings format, to "ask" is to poll
// the list, a "cold" server is one in slow start, and a server that "tips" or "falls" collapses under load.
type Contract struct {
	AnswerSlackMs     float64 `json:"answerSlackMs"` // allowance for the final response after the client's deadline
	ListPollWithinMs  float64 `json:"askWithinMs"`   // maximum poll interval without a subscription
	SlowStartFrom     float64 `json:"coldFrom"`      // initial capacity of a new server process, as a fraction
	SlowStartMs       float64 `json:"coldMs"`        // time from a server's start to its full capacity
	DrainGraceMs      float64 `json:"drainGraceMs"`  // time to stop sending to a draining or removed server
	CrashLoadMultiple float64 `json:"fallMultiple"`  // collapse load of a cold server, in current capacities
	CrashWindowMs     float64 `json:"tipAfterMs"`    // duration of the collapse load before the collapse
}

// Prices are deductions from the score. Each price is multiplied by the share or rate of the items that it
// names. The JSON key "membershipMode", fixed by the settings format, is the price of the list entries sent.
type Prices struct {
	CrossZone  float64 `json:"crossZone"`
	Handshake  float64 `json:"handshake"`
	Connection float64 `json:"connection"`
	LateFail   float64 `json:"lateFail"` // price of the credit of requests that fail after their target
	Probe      float64 `json:"probe"`
	Waste      float64 `json:"waste"` // price of server work whose response is not used
	List       float64 `json:"membershipMode"`
}

// Objective holds the weights of the components of the score. The JSON key "whole", fixed by the settings
// format, is the score over the full time and all classes.
type Objective struct {
	Overall     float64 `json:"whole"`
	WorstWindow float64 `json:"worstWindow"`
	WorstClass  float64 `json:"worstClass"`
	WorstTenant float64 `json:"worstTenant"`
}

// Report describes the servers' load reports.
type Report struct {
	Mode  string   `json:"how"` // "inline", "on_probe" or "off"
	Names []string `json:"names"`
}

// membershipOnRequest is the Settings.Membership in which an agent must subscribe to the list.
const membershipOnRequest = "on_request"

// Settings is the configuration of an agent. Its JSON keys are fixed by the settings format; where a key is not
// the usual term, the field has the usual one: "replicas of me" are the agents of this tier, "share" is a
// tenant's quota, and "worth" is the weight of a request.
type Settings struct {
	Classes    []Class   `json:"classes"`
	Tenants    []Tenant  `json:"tenants"`
	Limits     Limits    `json:"limits"`
	Contract   Contract  `json:"contract"`
	Prices     Prices    `json:"prices"`
	Objective  Objective `json:"objectiveMix"`
	Report     Report    `json:"report"`
	Membership string    `json:"membershipMode"` // "pushed" or "on_request"
	Clients    struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	FamilyInfo struct {
		WarmKeys bool `json:"warmKeys"` // requests for recently served keys cost a server less work
	} `json:"familyInfo"`
	Index           int     `json:"index"` // index of this agent among its replicas, from 0
	Replicas        int     `json:"replicasOfMe"`
	OverQuotaWeight float64 `json:"overShareWorth"` // weight of a request beyond its tenant's quota
	RoundMs         float64 `json:"roundMs"`        // minimum time between two events
	Weights         string  `json:"weights"`        // "off", "nominal", "rough" or "live"
	WeightBy        string  `json:"worthBy"`        // unit of credit: "request" or "work"
	Zone            int     `json:"zone"`           // zone of this agent
}

// A SettingError reports an invalid setting.
type SettingError struct {
	Key    string // JSON path, such as classes[0].aimMs
	Reason string
}

// Error returns the key and the reason in one line.
func (e *SettingError) Error() string { return "settings: " + e.Key + ": " + e.Reason }

// validate returns a *SettingError for the first invalid setting.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return &SettingError{Key: "classes", Reason: "none given"}
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(i); err != nil {
			return err
		}
	}
	if s.Membership != "pushed" && s.Membership != membershipOnRequest {
		return &SettingError{Key: "membershipMode", Reason: fmt.Sprintf("unknown mode %q", s.Membership)}
	}
	return s.validateNumbers()
}

// validate returns a *SettingError for the first invalid setting of class i.
func (c *Class) validate(i int) error {
	invalid := func(key, format string, value any) error {
		return &SettingError{Key: fmt.Sprintf("classes[%d].%s", i, key), Reason: fmt.Sprintf(format, value)}
	}
	deduplicated := c.Effect == Deduplicated
	switch {
	case !(c.TargetMs > 0) || math.IsInf(c.TargetMs, 0):
		return invalid("aimMs", "must be above 0 and finite, is %v", c.TargetMs)
	case !(c.DeadlineMs > 0) || math.IsInf(c.DeadlineMs, 0):
		return invalid("giveUpMs", "must be above 0 and finite, is %v", c.DeadlineMs)
	case !(c.Credit >= 0):
		return invalid("credit", "must be 0 or above, is %v", c.Credit)
	case c.Effect != Idempotent && !deduplicated && c.Effect != NonIdempotent:
		return invalid("effect", "unknown effect %q", c.Effect)
	case deduplicated && c.Group != GroupAll && c.Group != GroupZone && c.Group != GroupCell:
		return invalid("group", "unknown group %q", c.Group)
	case deduplicated && !(c.DedupWindowMs >= 0):
		return invalid("keyTtlMs", "must be 0 or above, is %v", c.DedupWindowMs)
	}
	return nil
}

// validateNumbers returns a *SettingError for the first number that is negative or not finite.
func (s *Settings) validateNumbers() error {
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"contract.answerSlackMs", s.Contract.AnswerSlackMs},
		{"contract.askWithinMs", s.Contract.ListPollWithinMs},
		{"contract.coldFrom", s.Contract.SlowStartFrom},
		{"contract.coldMs", s.Contract.SlowStartMs},
		{"contract.drainGraceMs", s.Contract.DrainGraceMs},
		{"contract.fallMultiple", s.Contract.CrashLoadMultiple},
		{"contract.tipAfterMs", s.Contract.CrashWindowMs},
		{"limits.keepaliveMs", s.Limits.KeepaliveMs},
		{"limits.maxAttempts", float64(s.Limits.MaxAttempts)},
		{"limits.maxRetryAfterMs", s.Limits.MaxRetryAfterMs},
		{"prices.connection", s.Prices.Connection},
		{"prices.crossZone", s.Prices.CrossZone},
		{"prices.handshake", s.Prices.Handshake},
		{"replicasOfMe", float64(s.Replicas)},
		{"roundMs", s.RoundMs},
	} {
		if !(f.value >= 0) || math.IsInf(f.value, 0) {
			return &SettingError{Key: f.key, Reason: fmt.Sprintf("must be 0 or above, is %v", f.value)}
		}
	}
	return nil
}
