// Command standin plays the cases of the review: it starts a real agent and takes the place of clients,
// programme servers, discovery and the platform. It exits with 1 if the case's rule was broken, with 0 if it
// held, and with 2 if the case could not run.
//
//	standin CASE ROOT FOLDER
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// timeLimit is when a case ends at the latest. The processes that it has started end with it.
const timeLimit = 115 * time.Second

// run is what a case gets.
type run struct {
	root    string // the project's root
	dir     string // temporary folder
	rec     *record
	trouble bool // whether the disruption is played
}

// cases holds the cases by name. Each returns how the rule was broken, or "" if it held.
var cases = map[string]func(*run) (broken string, err error){
	"erased":  playErased,
	"holders": playHolders,
	"heads":   playHeads,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	r := &run{root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.log("case %s, disruption played: %v", os.Args[1], r.trouble)
	time.AfterFunc(timeLimit, func() {
		rec.log("the case could not run: it took longer than %v", timeLimit)
		os.RemoveAll(dir)
		os.Exit(2)
	})
	broken, err := cases[os.Args[1]](r)
	if text, readErr := os.ReadFile(filepath.Join(dir, "agent.log")); readErr == nil {
		rec.log("the agent's log:\n%s", text)
	}
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		rec.log("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	rec.log("the rule held")
	fmt.Println("held")
	return 0
}
