// Package scale plays a scale experiment: it runs fleets of growing size on real control-plane
// servers and measures what each role spends and how long changes and recoveries take.
//
// Run plays the sizes of the file one after the other. For each size it starts, as processes of
// their own, the control-plane servers, some real agents, one process of hollow servers and as many
// processes of hollow agents as the file's watches need (package hollow); all of them are ended
// before the next size. The phases of a size follow each other too: each is measured as the
// difference between a sample of all counts before it and one after it.
//
// The goroutine that calls Run owns the results and all the state of a size but for this: the
// memory guard of a size reads its processes' memory and may cancel the size; the requester's
// goroutines send requests to the real agents and add to figures under the requester's lock; a
// forwarder's goroutines copy the bytes between real agents and one control-plane server into
// atomic counters.
package scale
