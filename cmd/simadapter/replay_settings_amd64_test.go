package main

import (
	"encoding/json"
	"math"
	"testing"
)

// This file holds the options of the recorded days and makes the agents' settings from them.

// dayOptions are the options in which the recorded days differ.
type dayOptions struct {
	replicas                                   int
	onRequest, cancel, probe, parallel, prices bool
	tenants                                    bool
	report, weights, weightBy                  string
	keepaliveMs                                float64
	rate, faults, restarts                     float64 // multiples of the default; 0 means 1
	servers, openCap                           int     // 0 means twelve servers and no limit
}

// settings returns the settings of the agents of the day, in JSON.
func (d dayOptions) settings(t *testing.T) []byte {
	class := func(name, effect, group string, targetMs float64, streamed bool) map[string]any {
		return map[string]any{"name": name, "aimMs": targetMs, "giveUpMs": 5 * targetMs, "effect": effect, "group": group,
			"keyTtlMs": 4 * targetMs, "credit": 1 + targetMs/100, "streamed": streamed, "lateShare": math.Mod(targetMs/100, 2) / 5, "aimStretch": 0.0}
	}
	set := map[string]any{
		"classes": []any{class("look", "free", "all", 100, false), class("send", "guarded", "all", 150, false),
			class("move", "guarded", "zone", 200, false), class("pair", "guarded", "cell", 120, false),
			class("order", "single_shot", "all", 180, false), class("feed", "free", "all", 250, true)},
		"clients": map[string]any{"marksRetry": !d.parallel},
		"contract": map[string]any{"answerSlackMs": 20, "askWithinMs": 4000, "coldFrom": 0.2, "coldMs": 3000,
			"drainGraceMs": 250, "fallMultiple": 3, "tipAfterMs": 400},
		"familyInfo":     map[string]any{"warmKeys": true},
		"limits":         map[string]any{"cancelling": d.cancel, "connectTimeoutMs": 100, "keepaliveMs": d.keepaliveMs, "maxAttempts": 4, "maxRetryAfterMs": 600, "parallelTries": d.parallel, "probing": d.probe, "retryAfter": true, "openCap": d.openCap},
		"membershipMode": map[bool]string{true: "on_request", false: "pushed"}[d.onRequest],
		"objectiveMix":   map[string]any{"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.15},
		"overShareWorth": 0.1, "replicasOfMe": d.replicas, "roundMs": batchGapMs, "index": 0, "zone": 1,
		"report":  map[string]any{"how": "off", "names": []any{}},
		"weights": "nominal", "worthBy": "request",
	}
	if d.report != "" {
		set["report"] = map[string]any{"how": d.report, "names": []any{"util", "inflight"}}
	}
	if d.weights != "" {
		set["weights"] = d.weights
	}
	if d.weightBy != "" {
		set["worthBy"] = d.weightBy
	}
	if d.prices {
		set["prices"] = map[string]any{"connection": 0.05, "crossZone": 0.1, "handshake": 0.1, "probe": 0.01, "waste": 0.25}
	}
	if d.tenants {
		set["tenants"] = []any{map[string]any{"name": "a", "portion": 0.7, "quotaPerS": 100},
			map[string]any{"name": "b", "portion": 0.3, "quotaPerS": 40}}
	}
	text, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
