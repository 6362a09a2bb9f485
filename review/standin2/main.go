// Command standin2 plays the scripted cases of the second review: it starts the programs of the deploy file with stand-ins of the platform,
// of servers and of clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of each case to its function, which reports whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"lost-watch": lostWatch, "endless-body": endless, "crashed-upload": crashedUpload, "held-pipeline": heldPipeline, "encoded-slash": encodedSlash,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return exitFailed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		w.record.line("BROKEN")
		return exitBroken
	}
	w.record.line("held")
	return exitHeld
}
