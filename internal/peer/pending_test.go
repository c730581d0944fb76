package peer

import "testing"

func TestPending_DeliversOnce(t *testing.T) {
	var pending Pending[bool]
	reply := pending.Register(1)
	pending.Deliver(2, false)
	pending.Deliver(1, true)
	pending.Deliver(1, false)
	if !<-reply {
		t.Error("the request got the reply to another one, or a duplicate")
	}
	late := pending.Register(3)
	pending.Forget(3)
	pending.Deliver(3, true)
	if len(late) != 0 || len(pending.waiting) != 0 {
		t.Error("a forgotten request is still waited for")
	}
}
