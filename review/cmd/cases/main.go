// Command cases runs the cases of the review. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"caperdrum.org/review/lab"
)

// limit ends a case that hangs.
const limit = 110 * time.Second

var cases = map[string]func(l *lab.Lab, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(2)
	}
	l, err := lab.New(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	status := make(chan int, 2)
	go func() { status <- run(l, os.Args[1]) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	code := 2
	select {
	case code = <-status:
	case <-interrupted:
	case <-time.After(limit):
		l.Note("the case did not end in time")
	}
	l.Close()
	os.Exit(code)
}

func run(l *lab.Lab, name string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	l.Note("case %s, disruption: %t", name, trouble)
	broken, err := cases[name](l, trouble)
	switch {
	case err != nil:
		l.Note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case broken:
		l.Note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	l.Note("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
