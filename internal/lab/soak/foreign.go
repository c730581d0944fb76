package soak

import (
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// foreignGrace is how long connected nodes may send requests to a server after its row was
// overwritten, as after any other change of a server (contactMs).
const foreignGrace = contactBound

// foreignServer is a server that appears in no valid row.
type foreignServer struct {
	standin.Server
	address string
}

// foreignServerName is the name of the foreign server in a history.
const foreignServerName = "stranger"

// addForeignServer starts the server that only rows of other writers refer to.
func (s *soak) addForeignServer() error {
	s.foreignServer.ID, s.foreignServer.Events, s.foreignServer.EventTime = foreignServerName, answerSize, eventTime
	var err error
	s.foreignServer.address, err = s.listen(&s.foreignServer.Server)
	return err
}

// checkForeignRows checks that rows of other writers are not used as servers.
func (c *checker) checkForeignRows() {
	var foreign []ServerRun
	for _, run := range c.Runs {
		if run.Server == foreignServerName {
			foreign = append(foreign, run)
		}
	}
	if len(foreign) > 0 {
		c.addViolation(ForeignUnused, "%d runs reached a server that only rows of other writers name, the first of them %s at %s",
			len(foreign), foreign[0].ID, c.timestamp(foreign[0].At))
	}
	nodeOf := map[string]string{}
	for _, req := range c.Requests {
		nodeOf[req.ID] = req.Node
	}
	for _, overwrite := range c.Overwritten {
		var late []ServerRun
		for _, run := range c.Runs {
			tooLate := run.At.After(overwrite.From.Add(foreignGrace)) && run.At.Before(overwrite.To)
			if run.Server == overwrite.Server && tooLate && c.fromConnectedNode(nodeOf, run) {
				late = append(late, run)
			}
		}
		if len(late) > 0 {
			last := late[len(late)-1]
			c.addViolation(ForeignUnused, "server %s got %d runs too late after its row was overwritten at %s, the last of them %s %v after that",
				overwrite.Server, len(late), c.timestamp(overwrite.From), last.ID, last.At.Sub(overwrite.From).Round(time.Millisecond))
		}
	}
}
