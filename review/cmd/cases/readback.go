package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"time"

	"caperdrum.org/review/lab"
)

func init() { cases["read-back"] = readBack }

//go:embed stage.json
var stageDocument string

// readBack sends a desired state whose stage takes about 4.1 ms a piece (4.7 without trouble) and reads it back at
// each node.
func readBack(l *lab.Lab, trouble bool) (bool, error) {
	if err := l.Start(3, 1, false); err != nil {
		return false, err
	}
	pace := "4.7"
	if trouble {
		pace = "4.1"
	}
	sent := lab.Fill(stageDocument, "pace", pace)
	if _, err := l.Put(sent, l.Nodes...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	broken := false
	for _, n := range l.Nodes {
		var body []byte
		if err := lab.Wait(10*time.Second, func() error {
			var status int
			var err error
			if status, body, err = l.Get(n); err == nil && status != http.StatusOK {
				err = fmt.Errorf("status %d", status)
			}
			return err
		}); err != nil {
			return false, err
		}
		var a, b any
		if err := json.Unmarshal([]byte(sent), &a); err != nil {
			return false, err
		}
		if err := json.Unmarshal(body, &b); err != nil {
			return false, err
		}
		same := reflect.DeepEqual(a, b)
		l.Note("%s returns the desired state as it was sent: %t; %s", n.Name, same, body)
		broken = broken || !same
	}
	return broken, nil
}
