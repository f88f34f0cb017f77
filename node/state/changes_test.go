package state

import (
	"fmt"
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
)

// compareAndSet is the linearizability model of configuration changes: a register whose version increases by
// one with each accepted change.
var compareAndSet = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		version, number := state.(uint64), input.(uint64)
		res, answered := output.(wire.ChangeResult)
		accepted := number == version+1
		if accepted {
			version = number
		}
		return !answered || res.Accepted == accepted && res.Version == version, version
	},
}

// changeAttempt is one operator's change, delivered any number of times and answered at most once.
type changeAttempt struct {
	request    wire.ChangeRequest
	call       int64
	first      *wire.ChangeResult // result of some delivery
	answeredAt int64              // time at which the operator got the answer; zero if never
}

// TestChangesAreLinearizable checks concurrent changes while messages are delayed, duplicated and lost, with
// snapshots restored in between.
func TestChangesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		var ops []*changeAttempt
		version := uint64(0)
		for now := int64(1); now < 60; now++ {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				number := version + uint64(rapid.IntRange(0, 2).Draw(t, "ahead"))
				ops = append(ops, &changeAttempt{call: now, request: wire.ChangeRequest{Number: number, ChangeID: fmt.Sprint(now), Text: fmt.Sprint(now)}})
			case 1:
				data, _ := m.Snapshot()
				m = New()
				if err := m.Restore(data); err != nil {
					t.Fatal(err)
				}
			default:
				if len(ops) == 0 {
					continue
				}
				o := ops[rapid.IntRange(0, len(ops)-1).Draw(t, "message")]
				data, _ := Command{Now: now, Change: &o.request}.Encode()
				r, err := m.Apply(data)
				if err != nil {
					t.Fatal(err)
				}
				res := *r.Change
				res.Resent = false
				if o.first != nil && *o.first != res {
					t.Fatalf("different answers to one change: %+v, then %+v", *o.first, res)
				}
				o.first = &res
				version = m.View().Config.Version
				if o.answeredAt == 0 && rapid.Bool().Draw(t, "answer comes") {
					o.answeredAt = now
				}
			}
		}
		if !porcupine.CheckOperations(compareAndSet, historyOf(ops)) {
			t.Fatal("the changes are not linearizable")
		}
	})
}

func historyOf(ops []*changeAttempt) []porcupine.Operation {
	var history []porcupine.Operation
	for i, o := range ops {
		op := porcupine.Operation{ClientId: i, Input: o.request.Number, Call: o.call, Return: math.MaxInt64}
		if o.answeredAt > 0 {
			op.Output, op.Return = *o.first, o.answeredAt
		}
		if o.first != nil {
			history = append(history, op)
		}
	}
	return history
}
