// Command rig2 plays the cases of the second review: it starts the processes of the program with stand-ins of the platform,
// of workers and of clients on loopback addresses, disturbs them, and exits with 1 if a rule was broken.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases maps the names of the cases to what they do in a deployment. trouble is false for a run without the disturbance.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(unable)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(which, recordFile string) int {
	program, err := filepath.Abs("target/oriolehub")
	if err != nil {
		return report(unable, err)
	}
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return report(unable, err)
	}
	defer os.RemoveAll(folder)
	file, err := os.Create(recordFile)
	if err != nil {
		return report(unable, err)
	}
	defer file.Close()
	w := &world{program: program, folder: folder, record: &record{file: file, started: time.Now()}}
	defer w.stop()
	isBroken, err := cases[which](w, os.Getenv("TROUBLE") != "0")
	if os.Getenv("KEEP_LOGS") != "" {
		_ = os.CopyFS(os.Getenv("KEEP_LOGS"), os.DirFS(folder))
	}
	switch {
	case err != nil:
		w.record.line("the case could not run: %v", err)
		return report(unable, err)
	case isBroken:
		w.record.line("the rule was broken")
		return report(broken, nil)
	default:
		w.record.line("the rule held")
		return report(held, nil)
	}
}

func report(code int, err error) int {
	words := map[int]string{held: "held", broken: "broken", unable: "could not run"}
	fmt.Println(words[code])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}
