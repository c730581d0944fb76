package node

import "time"

const (
	// crashSources is the number of nodes whose answers a starting node awaits. Some may have started at
	// the same time.
	crashSources = 3
	// maxInquiriesUnderWay bounds the nodes that are asked at the same time. It exceeds crashSources, so
	// that nodes which do not answer do not keep this one from asking others.
	maxInquiriesUnderWay = 6
	// maxInquiries bounds the requests of one start.
	maxInquiries = 30
	// firstInquiryPause is the time after which a node that had no answer is asked again. It doubles with
	// each request to that node, up to maxInquiryPause.
	firstInquiryPause = 100 * time.Millisecond
	maxInquiryPause   = 2 * time.Second
)

// crashInquiry decides which nodes a starting node asks for the crashes that they know, and when.
type crashInquiry struct {
	asked map[string]*askedNode
	// requests counts the requests, underWay those that have not ended, answers the nodes that answered.
	requests, underWay, answers int
}

// askedNode is a node that was asked.
type askedNode struct {
	// done is set while a request is under way and after an answer.
	done  bool
	pause time.Duration
	// againAt is when it may be asked again.
	againAt time.Time
}

// complete reports whether enough nodes have answered.
func (i *crashInquiry) complete() bool { return i.answers >= crashSources }

// next returns the first of the addresses that is to be asked now, and records that it is. It reports whether
// there is one.
func (i *crashInquiry) next(addresses []string, now time.Time) (string, bool) {
	if i.underWay >= maxInquiriesUnderWay || i.requests >= maxInquiries {
		return "", false
	}
	for _, address := range addresses {
		if i.begin(address, now) {
			return address, true
		}
	}
	return "", false
}

// begin records a request to an address. It returns false if the address is not to be asked now.
func (i *crashInquiry) begin(address string, now time.Time) bool {
	node, known := i.asked[address]
	switch {
	case !known:
		if i.asked == nil {
			i.asked = map[string]*askedNode{}
		}
		node = &askedNode{pause: firstInquiryPause}
		i.asked[address] = node
	case node.done || now.Before(node.againAt):
		return false
	default:
		node.pause = min(2*node.pause, maxInquiryPause)
	}
	node.done, node.againAt = true, now.Add(node.pause)
	i.requests++
	i.underWay++
	return true
}

// end records the end of a request.
func (i *crashInquiry) end(address string, answered bool) {
	i.underWay--
	if answered {
		i.answers++
		return
	}
	i.asked[address].done = false
}
