package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that takes too long, before the 120 s that a script may take.
const caseLimit = 110 * time.Second

// cases maps the name of each case to the function that runs it. The function returns whether the rule was broken.
var cases = map[string]func(*bed, bool) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	// The client of net/http would write of answers that come before a request.
	log.SetOutput(io.Discard)
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case and writes its record into a folder.
func run(name, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, trouble %v", name, trouble)
	b, err := newBed(r)
	if err != nil {
		r.printf("not run: %v", err)
		return exitNotRun
	}
	defer b.close()
	time.AfterFunc(caseLimit, func() {
		r.printf("not run: the case took longer than %v", caseLimit)
		b.close()
		r.close()
		os.Exit(exitNotRun)
	})
	broken, err := cases[name](b, trouble)
	if err == nil {
		err = b.unexpectedExit()
	}
	switch {
	case err != nil:
		r.printf("not run: %v", err)
		return exitNotRun
	case broken:
		r.printf("result: the rule was broken")
		return exitBroken
	}
	r.printf("result: the rule held")
	return exitHeld
}
