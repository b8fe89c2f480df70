package node

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a target that states in an answer that it leaves and still gets the requests of other
// instances, which have seen no such answer.
func TestStatedLeavingIsToldToOtherInstances(t *testing.T) {
	s := newSite(t)
	list := []*instance{s.start("n1"), s.start("n2")}
	s.waitForMembers(list...)
	time.Sleep(250 * time.Millisecond) // peers follow the members within 100 ms
	s.targets[0].SetLeaving(true)
	for i := 0; len(s.targets[0].Arrivals()) == 0; i++ {
		list[0].call(t, "/repeatable/x", fmt.Sprint("r", i))
	}
	s.eventually(time.Second, "the other instance is told", func() bool {
		return strings.Contains(list[1].output.String(), "Event=TargetStatesLeaving")
	})
	before := len(s.targets[0].Arrivals())
	for i := range 20 {
		for n, inst := range list {
			if got := inst.call(t, "/repeatable/x", fmt.Sprintf("s%d-%d", n, i)); got.status != 200 {
				t.Errorf("%+v", got)
			}
		}
	}
	if after := len(s.targets[0].Arrivals()); after != before {
		t.Errorf("%d requests reached the leaving target", after-before)
	}
}

// Guards against an instance that has used a leaving target through another one and sends to it later.
func TestStatedLeavingIsLearntOverDetour(t *testing.T) {
	s := newSite(t)
	l := newLinks(s)
	list := []*instance{s.start("n1", l.option()), s.start("n2")}
	s.waitForMembers(list...)
	l.cut(cutReset)
	s.targets[0].SetLeaving(true)
	for i := 0; len(s.targets[0].Arrivals()) == 0; i++ {
		list[0].call(t, "/repeatable/x", fmt.Sprint("r", i))
	}
	if !strings.Contains(list[0].output.String(), "Event=TargetStatesLeaving") {
		t.Error("the instance has not learnt it with the answer")
	}
}
