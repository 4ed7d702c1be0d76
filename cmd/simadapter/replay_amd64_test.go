package main

import (
	"encoding/hex"
	"testing"
)

// A replay feeds the adapter one simulated day, batch by batch, and answers its actions as the
// simulator would: with outcomes, probe results, fired timers and list changes, all drawn from a
// fixed seed. Because every batch depends on the replies to the earlier ones, one changed decision
// or one additional random draw changes the rest of the day.
//
// The test depends only on the wire format and on the function run, so that it can compare the decisions
// before and after any refactoring.

// replayDays are the recorded days. The sums are SHA-256 sums of all reply frames, recorded at commit
// d25b370 on amd64. Only an intended change of behaviour may replace them, never a refactoring.
var replayDays = []struct {
	name   string
	seed   uint64
	day    dayOptions
	sum    string
	counts actionCounts
}{
	{"three agents, pushed lists", 1, dayOptions{replicas: 3, cancel: true, probe: true, report: "inline", keepaliveMs: 3000},
		"adbef0995b8b525a349e7d04ac5dd012bcf6ea88d90d54bf7b44fc959503aaa9",
		actionCounts{All: 14669, Sends: 4490, Retries: 153, Cancels: 18, Rejects: 2298, Failures: 94, Probes: 467, Timers: 7278, Watches: 0, Fetches: 24, Closes: 0, Logs: 0}},
	{"one agent, lists on request", 2, dayOptions{replicas: 1, onRequest: true, parallel: true, tenants: true, keepaliveMs: 3000},
		"d5e4ba8ce388d30655084599011472c0bea60112db013f85712de74c1081666c",
		actionCounts{All: 14374, Sends: 4638, Retries: 178, Cancels: 0, Rejects: 2172, Failures: 106, Probes: 0, Timers: 7378, Watches: 55, Fetches: 25, Closes: 0, Logs: 0}},
	{"forty agents, probes with load reports", 3, dayOptions{replicas: 40, onRequest: true, cancel: true, probe: true,
		report: "on_probe", weights: "off", prices: true, keepaliveMs: 3000}, "b8763db833ea3b7590b0aede4bddf473e08bde0f68105a3374f4e0277e8dcc94",
		actionCounts{All: 15064, Sends: 2553, Retries: 174, Cancels: 13, Rejects: 4031, Failures: 32, Probes: 355, Timers: 7715, Watches: 53, Fetches: 0, Closes: 312, Logs: 0}},
	{"nine agents, work counted", 4, dayOptions{replicas: 9, cancel: true, probe: true, report: "on_probe", tenants: true,
		weightBy: "work", weights: "live"}, "407e4b1ae7505d6914fac0752309a372cec65c92cf107cf3962668cb3c8b2c3d",
		actionCounts{All: 14117, Sends: 4009, Retries: 54, Cancels: 19, Rejects: 2562, Failures: 29, Probes: 540, Timers: 6934, Watches: 0, Fetches: 24, Closes: 0, Logs: 0}},
	{"two hundred agents, priced connections", 5, dayOptions{replicas: 200, onRequest: true, prices: true, cancel: true,
		weights: "off", keepaliveMs: 1500}, "5c034cb3a776470b9c58125921a6d260fb440eaac456c3a80e167612f7e978c5",
		actionCounts{All: 15615, Sends: 2122, Retries: 65, Cancels: 7, Rejects: 4343, Failures: 44, Probes: 0, Timers: 7814, Watches: 44, Fetches: 0, Closes: 1241, Logs: 0}},
	{"twelve agents, overload", 6, dayOptions{replicas: 12, cancel: true, probe: true, report: "on_probe", rate: 3, openCap: 60,
		keepaliveMs: 3000}, "a989c551765d9dd91600cba075e5b7855834cd87556796ee4d7682b3b7932ca8",
		actionCounts{All: 28255, Sends: 3942, Retries: 42, Cancels: 24, Rejects: 15518, Failures: 49, Probes: 516, Timers: 8182, Watches: 0, Fetches: 24, Closes: 0, Logs: 0}},
	{"two agents, many servers that fail", 7, dayOptions{replicas: 2, parallel: true, cancel: true, faults: 4, servers: 40,
		prices: true, probe: true, keepaliveMs: 3000}, "d35d50f2ad9144f4f6f9c4ffad4f4fd4866b3e807f04048d16e8fb6e01477261",
		actionCounts{All: 15008, Sends: 6791, Retries: 367, Cancels: 24, Rejects: 186, Failures: 122, Probes: 739, Timers: 6902, Watches: 0, Fetches: 24, Closes: 220, Logs: 0}},
	{"sixty agents, crowded servers", 8, dayOptions{replicas: 60, cancel: true, probe: true, report: "on_probe", rate: 2,
		faults: 2, servers: 24, keepaliveMs: 2000}, "6f0c03381357f4007ce365e7a71f253e1638ae4c961c39a670e0834f07cdfa54",
		actionCounts{All: 21597, Sends: 2784, Retries: 98, Cancels: 13, Rejects: 9983, Failures: 55, Probes: 611, Timers: 8127, Watches: 0, Fetches: 24, Closes: 0, Logs: 0}},
	{"four agents, neither probes nor cancellation", 9, dayOptions{replicas: 4, onRequest: true, tenants: true, report: "inline",
		weights: "rough", faults: 2}, "743dd40868a40ca04014a61d7225297c17f1d1726b7fd8d507967c642a138d0c",
		actionCounts{All: 14785, Sends: 4084, Retries: 257, Cancels: 0, Rejects: 2742, Failures: 97, Probes: 0, Timers: 7780, Watches: 58, Fetches: 24, Closes: 0, Logs: 0}},
	{"five agents, restarting servers", 10, dayOptions{replicas: 5, cancel: true, parallel: true, probe: true, report: "inline",
		weightBy: "work", restarts: 5, keepaliveMs: 3000}, "1f8b1cfb01556f148b008c2da9ed87760a2d36bcb2d78ad93e33217a246fd0d5",
		actionCounts{All: 14299, Sends: 3348, Retries: 93, Cancels: 14, Rejects: 3017, Failures: 59, Probes: 421, Timers: 7417, Watches: 0, Fetches: 23, Closes: 0, Logs: 0}},
}

// actionCounts counts the actions of a day by kind. It shows how two days differ if their sums do.
type actionCounts struct {
	All, Sends, Retries, Cancels, Rejects, Failures, Probes, Timers, Watches, Fetches, Closes, Logs int
}

func TestReplayedDaysGiveRecordedReplies(t *testing.T) {
	for _, d := range replayDays {
		t.Run(d.name, func(t *testing.T) {
			s := newSimulator(t, d.seed, d.day)
			if err := run(s, s); err != nil {
				t.Fatal(err)
			}
			if sum := hex.EncodeToString(s.sum.Sum(nil)); sum != d.sum || s.counts != d.counts {
				t.Errorf("the adapter's replies differ from the recorded ones:\n got %q,\n\t%#v\nwant %q,\n\t%#v",
					sum, s.counts, d.sum, d.counts)
			}
		})
	}
}
