package dispatch

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"
)

// Guards against a rolling restart that breaks calls between entries of versions
// with and without outlooks.
func TestOutlooksAreOptional(t *testing.T) {
	type stateArgs struct{ ID string }
	type noteReply struct{}
	type stateReply struct {
		Process string
		Leading bool
	}
	pass := func(from, to any) {
		t.Helper()
		var text bytes.Buffer
		if err := gob.NewEncoder(&text).Encode(from); err != nil {
			t.Fatal(err)
		}
		if err := gob.NewDecoder(&text).Decode(to); err != nil {
			t.Error(err)
		}
	}
	outlook := &Outlook{Epoch: 3, At: time.Second, Loads: []QueueLoad{{Queue: "q", Reserved: Backlog{Cores: 2, UpTo: []float64{1}, Ahead: []float64{2}}}}}
	var oldArgs stateArgs
	pass(StateArgs{ID: "a", Mark: OutlookMark{Wanted: true, Epoch: 2}, Refusal: &RefusalNotice{Queue: "q"}}, &oldArgs)
	var oldState stateReply
	pass(StateReply{Process: "p", Leading: true, Outlook: outlook, RefusalConfirmed: true}, &oldState)
	pass(NoteReply{Outlook: outlook}, &noteReply{})
	var args StateArgs
	pass(stateArgs{ID: "a"}, &args)
	var state StateReply
	pass(stateReply{Process: "p", Leading: true}, &state)
	var note NoteReply
	pass(noteReply{}, &note)
	if oldArgs.ID != "a" || !oldState.Leading || args.Mark.Wanted || args.Refusal != nil || state.Outlook != nil || state.RefusalConfirmed || note.Outlook != nil {
		t.Errorf("%+v %+v %+v %+v %+v", oldArgs, oldState, args, state, note)
	}
}
