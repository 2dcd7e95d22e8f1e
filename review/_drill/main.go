// Command drill plays one case of the review against gateway nodes that run as processes. It exits with 1 if a rule
// was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// drill is one case.
type drill struct {
	nodes int
	run   func(s *drillSite, trouble bool) (broken []string, err error)
}

var drills = map[string]drill{
	"spoiled": {nodes: 3, run: runSpoiled},
}

func main() { os.Exit(play()) }

// play runs the case that the first argument names, with its record in the folder that the second one names.
func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drill CASE FOLDER")
		return exitNotRun
	}
	d, exists := drills[os.Args[1]]
	if !exists {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		return exitNotRun
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	s, err := newSite(dir, log, d.nodes)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.stop()
	go endEarly(s, log, dir)
	broken, err := d.run(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.add("drill", "not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, b := range broken {
		log.add("verdict", "%s", b)
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	log.add("verdict", "held")
	fmt.Println("held")
	return exitHeld
}

// maxLength bounds the length of a case.
const maxLength = 110 * time.Second

// endEarly ends the case when it is interrupted or takes too long.
func endEarly(s *drillSite, log *record, dir string) {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-interrupts:
	case <-time.After(maxLength):
	}
	s.stop()
	log.add("drill", "ended early")
	log.close()
	_ = os.RemoveAll(dir)
	os.Exit(exitNotRun)
}
