package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/link"
)

// An operation on one server's share: a read, a write, or a write on the condition that
// the entry has a version.
type input struct {
	key   string
	kind  string // "read", "write" or "cas"
	share float64
	if_   int64
}

type output struct {
	share   float64
	version int64 // 0: unknown, the answer was lost
	refused bool  // of a cas: the entry has another version
	doubt   bool  // of a refused one: it may be for a write whose answer was lost and that nobody saw
}

// register is a share with the version that it was written under; 0 is not known yet.
type register struct {
	share   float64
	version int64
}

var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(input).key
			by[key] = append(by[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return register{share: 1} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(register), in.(input), out.(output)
		same := s.version == 0 || s.version == o.version
		switch i.kind {
		case "read":
			return o.share == s.share && same, register{s.share, o.version}
		case "cas":
			fits := s.version == 0 || s.version == i.if_
			switch {
			case o.version == 0: // it may have been carried out, if the version fitted
				if fits {
					return true, register{i.share, 0}
				}
				return true, s
			case o.refused:
				return s.version != i.if_ || s.version == 0 || o.doubt, s
			}
			return fits && o.version > s.version, register{i.share, o.version}
		}
		return o.version == 0 || o.version > s.version, register{i.share, o.version}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// settle says of each operation whose answer was lost what is known of it. Shares are
// unique: one that a read saw was carried out, under the version that the read tells. One
// that no read saw matters to nobody but to a cas that was refused for it; it is left out,
// or a search would have to try it at every place.
func settle(ops []porcupine.Operation) (out []porcupine.Operation) {
	saw := map[float64]int64{}
	for _, op := range ops {
		if op.Input.(input).kind == "read" {
			saw[op.Output.(output).share] = op.Output.(output).version
		}
	}
	lost := map[string]int64{} // the first unseen one, by key
	for _, op := range ops {
		i, o := op.Input.(input), op.Output.(output)
		if o.version == 0 && saw[i.share] == 0 {
			if at, known := lost[i.key]; !known || op.Call < at {
				lost[i.key] = op.Call
			}
		}
	}
	for _, op := range ops {
		i, o := op.Input.(input), op.Output.(output)
		if o.version == 0 {
			if o.version = saw[i.share]; o.version == 0 {
				continue
			}
		}
		at, some := lost[i.key]
		o.doubt = o.refused && some && at < op.Return
		op.Output = o
		out = append(out, op)
	}
	return out
}

// recorder gathers the history of all clients.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	ops   []porcupine.Operation
	kinds map[string]int
}

func (r *recorder) add(client int, i input, o output, call, ret time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: i, Output: o, Call: int64(call), Return: int64(ret)})
	r.kinds[i.kind]++
}

// play makes operations, each at a steward drawn anew, until the context ends.
func (r *recorder) play(ctx context.Context, f *fleet, client int, rng *rand.Rand) {
	versions := map[string]int64{}
	for n := 0; ctx.Err() == nil; n++ {
		at := f.all[f.names[rng.IntN(len(f.names))]]
		c := control.NewClient([]string{at.http}, 1500*time.Millisecond)
		i := input{key: fmt.Sprint("k-", rng.IntN(3)), kind: []string{"read", "write", "cas"}[rng.IntN(3)], share: float64(client*100_000 + n)}
		if i.kind == "cas" {
			if i.if_ = versions[i.key]; i.if_ == 0 {
				continue
			}
		}
		call, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		began := time.Since(r.began)
		var o output
		var err error
		if i.kind == "read" {
			e, rerr := c.Server(call, i.key, true)
			if err = rerr; err == nil {
				o = output{version: e.Version, share: e.Listed().Weight}
			}
		} else {
			res, werr := c.SetOverride(call, i.key, control.ServerOverride{Weight: &i.share, IfVersion: i.if_})
			err, o.version = werr, res.Seq
		}
		ended := time.Since(r.began)
		cancel()
		var refused *control.HTTPError
		switch {
		case err == nil:
			versions[i.key] = o.version
			r.add(client, i, o, began, ended)
		case i.kind == "read":
		case errors.As(err, &refused) && refused.Status == http.StatusPreconditionFailed:
			r.add(client, i, output{version: 1, refused: true}, began, ended)
		case errors.As(err, &refused) && refused.NotApplied:
			time.Sleep(5 * time.Millisecond)
		default: // it may be carried out at any time from its call on
			r.add(client, i, output{}, began, math.MaxInt64)
		}
		if err != nil && !errors.As(err, &refused) {
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// Whatever is killed, stopped and cut meanwhile, the history of writes and of reads as of
// now is one that a single register a key could have had. LINEAR_SEEDS is how many
// histories are played.
func TestLinearizable(t *testing.T) {
	seeds := 10
	if text := os.Getenv("LINEAR_SEEDS"); text != "" {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatalf("LINEAR_SEEDS: %v", err)
		}
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			linear(t, uint64(seed))
		})
	}
}

func linear(t *testing.T, seed uint64) {
	rng := seeded(t, seed)
	f := newFleet(t, 3)
	for i := range 3 {
		f.register(fmt.Sprint("k-", i), 1)
	}
	r := &recorder{began: time.Now(), kinds: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for c := range 4 {
		clients.Add(1)
		go func() { defer clients.Done(); r.play(ctx, f, c+1, rand.New(rand.NewPCG(seed, uint64(c)))) }()
	}
	for range 7 {
		time.Sleep(time.Duration(150+rng.IntN(400)) * time.Millisecond)
		fault(t, f, rng)
	}
	cancel()
	clients.Wait()
	if r.kinds["read"] < 20 || r.kinds["write"] < 20 || r.kinds["cas"] < 5 {
		t.Errorf("too little was done to tell: %v", r.kinds)
	}
	switch res, _ := porcupine.CheckOperationsVerbose(model, settle(r.ops), soon); res {
	case porcupine.Illegal:
		t.Errorf("seed %d: %d operations that no register could have answered so", seed, len(r.ops))
	case porcupine.Unknown:
		t.Errorf("seed %d: %d operations were not judged in time", seed, len(r.ops))
	}
}

// fault does one thing to one steward, mostly to the one that leads, and ends it.
func fault(t testing.TB, f *fleet, rng *rand.Rand) {
	name := f.names[rng.IntN(3)]
	if rng.IntN(3) > 0 {
		for _, n := range f.names {
			if st, err := f.status(n); err == nil && st.State == "leader" {
				name = n
			}
		}
	}
	lasts := time.Duration(200+rng.IntN(1200)) * time.Millisecond
	switch rng.IntN(5) {
	case 0:
		f.kill(name)
		time.Sleep(lasts / 4)
		f.start(name)
	case 1:
		if err := f.all[name].proc.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(lasts)
		_ = f.all[name].proc.Signal(syscall.SIGCONT)
	default:
		out, in := link.Shape{Cut: rng.IntN(2) == 0}, link.Shape{Cut: true}
		if rng.IntN(2) == 0 {
			out, in = in, out
		}
		set := func(out, in link.Shape) {
			for _, other := range f.others(name) {
				if err := f.links[[2]string{name, other}].Set(out, in); err != nil {
					t.Fatal(err)
				}
				if err := f.links[[2]string{other, name}].Set(in, out); err != nil {
					t.Fatal(err)
				}
			}
		}
		set(out, in)
		time.Sleep(lasts)
		set(link.Shape{}, link.Shape{})
	}
}
