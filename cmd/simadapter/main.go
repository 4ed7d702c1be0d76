// Command simadapter runs many independent balancers for the simulator: it reads batches of events from
// standard input and writes a reply with the resulting actions, one for each batch, to standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"knotrouter/internal/simwire"
	"knotrouter/policy"
)

const bufferSize = 1 << 16 // bytes, for input and output each

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run processes batches until the input ends, and then returns nil. It returns the first error of the
// input, of the output, or of a batch that violates the wire format.
func run(in io.Reader, out io.Writer) error {
	dec := simwire.NewDecoder(bufio.NewReaderSize(in, bufferSize))
	w := bufio.NewWriterSize(out, bufferSize)
	a := adapter{instances: map[uint32]*policy.Balancer{}}
	for {
		a.reply.Reset()
		if err := dec.Next(a.handle); err != nil {
			if err == io.EOF { // not errors.Is: the error of a truncated batch may wrap io.EOF
				return nil
			}
			return err
		}
		if _, err := a.reply.WriteTo(w); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// adapter holds the balancers of this process by instance number. Instances share no state.
type adapter struct {
	instances map[uint32]*policy.Balancer
	reply     simwire.Encoder // the reply to the current batch
	actions   []policy.Action // the actions of one record; the slice is reused
}

// handle passes a record to its instance and adds the resulting actions to the reply.
func (a *adapter) handle(now float64, rec *simwire.Record) error {
	switch rec.Kind {
	case simwire.Boot:
		b, err := newBalancer(rec)
		if err != nil {
			a.reply.Crash(rec.Instance, err.Error())
			delete(a.instances, rec.Instance)
			return nil
		}
		a.instances[rec.Instance] = b
		a.actions = b.Start(now, a.actions[:0])
	case simwire.Killed:
		delete(a.instances, rec.Instance)
		return nil
	default:
		b := a.instances[rec.Instance]
		if b == nil {
			return nil // killed or never booted: the event gets no actions
		}
		a.actions = b.Handle(now, &rec.Event, a.actions[:0])
	}
	for i := range a.actions {
		a.reply.Add(rec.Instance, &a.actions[i])
	}
	return nil
}

// newBalancer returns the balancer of a boot record, or an error that names the invalid setting.
func newBalancer(rec *simwire.Record) (*policy.Balancer, error) {
	settings, err := simwire.ParseSettings(rec.Settings)
	if err != nil {
		return nil, err
	}
	return policy.New(settings, rec.Seed)
}
