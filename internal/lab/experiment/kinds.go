package experiment

// The kinds of targets of a fault. The values are fixed by the format of experiment files. All except
// targetLink are also selectors.
const (
	targetServers      = "servers"
	targetAgents       = "agents"
	targetControlPlane = "stewards"
	targetWorkers      = "workers"
	targetDiscovery    = "discovery"
	targetLoad         = "load"
	targetLink         = "link" // the target of a fault that sets a far end
)

// The kinds of faults. The values are fixed by the format of experiment files. When the duration of a fault
// has passed, killed processes are started again and changed settings are restored.
const (
	faultKill          = "kill"        // ends a process or a server at once
	faultStop          = "stop"        // pauses a process
	faultRestart       = "restart"     // restarts processes gracefully, one after the other
	faultReload        = "hup"         // makes agents reload a configuration with another discovery source
	faultSignals       = "signals"     // sends agents a series of signals
	faultFlood         = "flood"       // clients open connections that stay idle or send only part of a request
	faultPipeline      = "pipeline"    // a client sends many requests at once on a connection
	faultNoDescriptors = "descriptors" // agents can't open descriptors
	faultIsolate       = "vanish"      // a server no longer answers, and its connections stay open
	faultDrain         = "drain"       // a server takes no new requests
	faultReplace       = "replace"     // servers drain, are killed and are started again, one after the other
	faultMute          = "mute"        // a server's renewals are suppressed
	faultSlow          = "slow"        // a server works, or a link transmits, more slowly
	faultNeighbour     = "neighbour"   // another process takes part of a server's machine
	faultErrors        = "errors"      // a share of the answers are errors
	faultResets        = "resets"      // a share of the requests end with a reset connection
	faultLost          = "lost"        // a share of the requests get no answer
	faultTruncated     = "spoilt"      // a share of the answers end in the middle
	faultRepeated      = "repeated"    // a share of the answers are sent a second time some milliseconds later
	faultDown          = "down"        // discovery does not answer
	faultBurst         = "burst"       // the rate of the load is multiplied
	faultHeavy         = "heavy"       // a share of the requests need more work
	faultCut           = "cut"         // a link transmits nothing
	faultRefuse        = "refuse"      // a link refuses connections
	faultDelay         = "delay"       // a link delays what it transmits
	faultReset         = "reset"       // a link resets a connection after a number of bytes
	faultLoss          = "loss"        // a link loses datagrams
)

// faultKinds lists the kinds of faults that each kind of target supports.
var faultKinds = map[string][]string{
	targetServers: {faultKill, faultIsolate, faultDrain, faultSlow, faultNeighbour, faultErrors, faultResets, faultLost, faultTruncated,
		faultRepeated, faultReplace, faultMute},
	targetAgents:       {faultKill, faultStop, faultRestart, faultReload, faultSignals, faultFlood, faultPipeline, faultNoDescriptors},
	targetControlPlane: {faultKill, faultStop, faultRestart},
	targetWorkers:      {faultKill, faultStop, faultRestart},
	targetDiscovery:    {faultDown},
	targetLoad:         {faultBurst, faultHeavy},
	targetLink:         {faultCut, faultRefuse, faultDelay, faultSlow, faultReset, faultLoss},
}

// sizedFaultKinds are the kinds of faults that need a size if their target is not a link.
var sizedFaultKinds = map[string]bool{faultSlow: true, faultNeighbour: true, faultErrors: true, faultResets: true, faultLost: true,
	faultTruncated: true, faultRepeated: true, faultBurst: true, faultHeavy: true, faultFlood: true, faultPipeline: true}

// responseFaultKinds are the kinds of faults whose size is a share of a server's responses.
var responseFaultKinds = map[string]bool{faultErrors: true, faultResets: true, faultLost: true, faultTruncated: true, faultRepeated: true}

// sizedLinkFaultKinds are the kinds of link faults that need a size.
var sizedLinkFaultKinds = map[string]bool{faultSlow: true, faultReset: true, faultLoss: true}

// The directions of a link that a fault applies to, as seen from its target. "" means both.
const (
	directionForward = "forward"
	directionBack    = "back"
	directionBoth    = "both"
)
