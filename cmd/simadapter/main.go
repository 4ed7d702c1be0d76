// Command simadapter runs many independent balancers on the simulator's wire: it reads batches of
// events from standard input and writes one reply of actions a batch to standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"knotrouter/internal/simwire"
	"knotrouter/policy"
)

const bufferSize = 1 << 16 // bytes, each of input and output

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run serves batches until the input ends, and returns nil then. It returns the first error of input,
// of output, or of a batch that breaks the wire's format.
func run(in io.Reader, out io.Writer) error {
	dec := simwire.NewDecoder(bufio.NewReaderSize(in, bufferSize))
	w := bufio.NewWriterSize(out, bufferSize)
	a := adapter{instances: map[uint32]*policy.Balancer{}}
	for {
		a.reply.Reset()
		if err := dec.Next(a.handle); err != nil {
			if err == io.EOF { // not errors.Is: a truncated batch wraps it, too
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

// adapter holds the instances of this process by their number. They share nothing but the process, and
// each is reached by its number only.
type adapter struct {
	instances map[uint32]*policy.Balancer
	reply     simwire.Encoder // to the batch at hand
	actions   []policy.Action // memory for the actions of one record
}

// handle hands a record to the instance that it is for, and adds the instance's actions to the reply.
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
			return nil // killed or never booted: nothing more is owed
		}
		a.actions = b.Handle(now, &rec.Event, a.actions[:0])
	}
	for i := range a.actions {
		a.reply.Add(rec.Instance, &a.actions[i])
	}
	return nil
}

// newBalancer returns the balancer of a boot record, or an error that names the setting that is wrong.
func newBalancer(rec *simwire.Record) (*policy.Balancer, error) {
	settings, err := simwire.ParseSettings(rec.Settings)
	if err != nil {
		return nil, err
	}
	return policy.New(settings, rec.Seed)
}
