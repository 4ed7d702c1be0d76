// Command rig2 plays the cases 6 to 10 of the review. It starts agents with the deploy file's run
// command as separate processes, and takes the place of clients, programme servers and discovery.
//
//	rig2 CASE DIR
//
// is run from the project's root. It writes DIR/record.txt and exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases holds the cases by name.
var cases = map[string]func(*run){}

// run is one play of a case.
type run struct {
	trouble bool
	begun   time.Time
	mu      sync.Mutex
	record  *os.File
	broken  []string
	atEnd   []func()
}

// say writes one line to the record.
func (r *run) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *run) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.say("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// unable ends a play that couldn't run.
type unable struct{ reason string }

// cannot ends the play with exit code 2.
func (r *run) cannot(format string, args ...any) { panic(unable{fmt.Sprintf(format, args...)}) }

// close ends all that the play started, the last first.
func (r *run) close() {
	for i := len(r.atEnd) - 1; i >= 0; i-- {
		r.atEnd[i]()
	}
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE DIR; cases:", strings.Join(names, " "))
		return 2
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return 2
	}
	defer record.Close()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), record: record}
	defer func() {
		r.close()
		if p := recover(); p != nil {
			u, ok := p.(unable)
			if !ok {
				panic(p)
			}
			r.say("COULD NOT RUN %s", u.reason)
			fmt.Println("could not run:", u.reason)
			code = 2
		}
	}()
	r.say("case %s, trouble %v", os.Args[1], r.trouble)
	// A play that doesn't end by itself could not run.
	timer := time.AfterFunc(115*time.Second, func() {
		fmt.Println("could not run: not done within 115 s")
		r.close()
		os.Exit(2)
	})
	defer timer.Stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	go func() {
		<-ended
		r.close()
		os.Exit(2)
	}()
	cases[os.Args[1]](r)
	for _, text := range r.broken {
		fmt.Println("broken:", text)
	}
	if len(r.broken) > 0 {
		r.say("the rule was broken %d times", len(r.broken))
		return 1
	}
	r.say("the rule held")
	fmt.Println("the rule held")
	return 0
}
