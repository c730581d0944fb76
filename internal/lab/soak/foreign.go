package soak

import (
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// foreignKnown is how long after a server's row was overwritten nodes in touch may still
// send to it, as after any other news of a server (contactMs).
const foreignKnown = contactBound

// stranger is a server that no valid row names.
type stranger struct {
	standin.Server
	address string
}

// strangerName is the server's name in a history.
const strangerName = "stranger"

// addStranger starts the server that only rows of other writers name.
func (s *soak) addStranger() error {
	s.stranger.ID, s.stranger.Events, s.stranger.EventTime = strangerName, answerSize, eventTime
	var err error
	s.stranger.address, err = s.listen(&s.stranger.Server)
	return err
}

// foreign: a row of another writer names no server to use.
func (c *check) foreign() {
	var strange []ServerRun
	for _, run := range c.Runs {
		if run.Server == strangerName {
			strange = append(strange, run)
		}
	}
	if len(strange) > 0 {
		c.broken(ForeignUnused, "%d runs reached a server that only rows of other writers name, the first of them %s at %s",
			len(strange), strange[0].ID, c.moment(strange[0].At))
	}
	nodeOf := map[string]string{}
	for _, one := range c.Requests {
		nodeOf[one.ID] = one.Node
	}
	for _, one := range c.Overwritten {
		var late []ServerRun
		for _, run := range c.Runs {
			isLate := run.At.After(one.From.Add(foreignKnown)) && run.At.Before(one.To)
			if run.Server == one.Server && isLate && c.inTouch(nodeOf, run) {
				late = append(late, run)
			}
		}
		if len(late) > 0 {
			last := late[len(late)-1]
			c.broken(ForeignUnused, "server %s got %d runs too late after its row was overwritten at %s, the last of them %s %v after that",
				one.Server, len(late), c.moment(one.From), last.ID, last.At.Sub(one.From).Round(time.Millisecond))
		}
	}
}
