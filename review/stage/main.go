// The stage of the review's cases: stand-ins of the platform, servers and consumers, which
// play a case against real daemons and check the rule that it names.
//
//	stage CASE FOLDER     play a case, and write FOLDER/record.txt
//	stage server ...      one server's process
package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// errCannotRun is the exit status of a case that couldn't be played.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var cases = map[string]func(*stage, bool) (broken bool, err error){
	"joined": playJoined,
	"rolled": playRolled,
}

func main() {
	if len(os.Args) == 6 && os.Args[1] == "server" {
		err := runServer(serverConfig{id: os.Args[2], work: duration(os.Args[3]), bytes: number(os.Args[4]), over: duration(os.Args[5])})
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, dir string) int {
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	s, err := newStage(rec)
	if err != nil {
		rec.say("can't run: %v", err)
		return exitCannotRun
	}
	defer s.close()
	broken, err := cases[name](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("can't run: %v", err)
		return exitCannotRun
	case broken:
		rec.say("BROKEN")
		return exitBroken
	default:
		rec.say("held")
		return exitHeld
	}
}

func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return n
}
