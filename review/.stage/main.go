// The stage of the review's cases: stand-ins of the platform, servers and consumers, which
// play a case against real daemons and check the rule that it names.
//
//	stage CASE FOLDER     play a case, and write FOLDER/record.txt
//	stage server CONFIG   one server's process
package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var cases = map[string]func(*stage, bool) (broken bool, err error){
	"joined":   playJoined,
	"rolled":   playRolled,
	"taken-up": playTakenUp,
	"uploads":  playUploads,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		var fields configFields
		err := json.Unmarshal([]byte(os.Args[2]), &fields)
		if err == nil {
			err = runServer(fields.config())
		}
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
