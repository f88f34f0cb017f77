// Command review2 holds the stand-ins, clients and checks of the scripts of cases 4 to 6. It is run in the root of the
// project, after the deploy file's build.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	held   = 0 // the rule held
	broken = 1
	failed = 2 // the case could not run
)

// limit ends a case that hangs.
const limit = 100 * time.Second

// env is what a case runs in.
type env struct {
	ctx     context.Context
	r       *record
	trouble bool
}

var cases = map[string]func(env) int{
	"leaving":  leavingCase,
	"founder":  founderCase,
	"silent":   silentCase,
	"versions": versionsCase,
}

func main() {
	// The processes that it starts end with the thread that started them.
	runtime.LockOSThread()
	switch {
	case len(os.Args) > 1 && os.Args[1] == "worker":
		os.Exit(workerMain(os.Args[2:]))
	case len(os.Args) == 3 && cases[os.Args[1]] != nil:
		os.Exit(run(cases[os.Args[1]], os.Args[2]))
	}
	fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
	os.Exit(failed)
}

func run(c func(env) int, folder string) int {
	r, err := newRecord(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	e := env{ctx: ctx, r: r, trouble: os.Getenv("TROUBLE") != "0"}
	r.add("disruption: %t", e.trouble)
	code := c(e)
	r.add("exit status %d", code)
	return code
}

// fail reports that a case could not run.
func (e env) fail(what string, err error) int {
	e.r.add("could not run: %s: %v", what, err)
	fmt.Println("could not run:", what, err)
	return failed
}

// verdict reports the result.
func (e env) verdict(isBroken bool, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	e.r.add("result: broken %t: %s", isBroken, text)
	fmt.Println(text)
	if isBroken {
		return broken
	}
	return held
}
