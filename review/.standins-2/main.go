// Command review-2 plays the cases of the second review: stand-ins of the platform, engines and consumers
// in this process, and the project's daemons as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(*fleet, *record) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			cannotRun("ended by a signal")
		case <-time.After(100 * time.Second):
			cannotRun("it takes too long")
		}
	}()
	rec := newRecord(os.Args[2])
	broken := cases[os.Args[1]](newFleet(rec), rec)
	stopAll()
	if broken {
		rec.note("BROKEN")
		os.Exit(1)
	}
	rec.note("held")
}
