package route

import (
	"math"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/findings"
)

// Pool tells what is particular of a pool of replicas.
type Pool struct {
	Name string
	// ColdRate is what a replica bears while it is cold, in requests a second; 0 if it
	// bears as much as when it is warm.
	ColdRate float64
	// ColdStart is how long a replica is cold after a start.
	ColdStart time.Duration
}

// maxColdStart bounds the time that a replica may be told to be cold for: one that is
// cold for hours is not starting.
const maxColdStart = time.Hour

func (c *Config) validatePools(found *findings.List) {
	names := map[string]bool{}
	for i, declared := range c.Pools {
		place := "pools[" + declared.Name + "]"
		switch {
		case declared.Name == "":
			found.Add("pools", "pool %d has no name", i)
		case names[declared.Name]:
			found.Add(place, "is declared twice")
		}
		names[declared.Name] = true
		if !(declared.ColdRate >= 0) || math.IsInf(declared.ColdRate, 0) {
			found.Add(place+".coldRate", "must be a number of requests a second, not negative")
		}
		if declared.ColdStart < 0 || declared.ColdStart > maxColdStart {
			found.Add(place+".coldStart", "must be from 0 to %s", maxColdStart)
		}
	}
}
