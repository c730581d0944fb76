package route

import (
	"math"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/findings"
)

// Pool declares the settings of a pool of replicas.
type Pool struct {
	Name string
	// ColdRate is the request rate that a cold replica sustains, in requests per second; 0 if it
	// sustains its full rate.
	ColdRate float64
	// ColdStart is how long a replica stays cold after a start.
	ColdStart time.Duration
}

// maxColdStart bounds ColdStart: a replica that is cold for hours is not starting.
const maxColdStart = time.Hour

func (c *Config) validatePools(found *findings.List) {
	names := map[string]bool{}
	for i, declared := range c.Pools {
		path := "pools[" + declared.Name + "]"
		switch {
		case declared.Name == "":
			found.Add("pools", "pool %d has no name", i)
		case names[declared.Name]:
			found.Add(path, "is declared twice")
		}
		names[declared.Name] = true
		if !(declared.ColdRate >= 0) || math.IsInf(declared.ColdRate, 0) {
			found.Add(path+".coldRate", "must be a number of requests a second, not negative")
		}
		if declared.ColdStart < 0 || declared.ColdStart > maxColdStart {
			found.Add(path+".coldStart", "must be from 0 to %s", maxColdStart)
		}
	}
}
