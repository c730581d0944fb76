// Command wheelhoist-lab runs emulated sites, load, faults and checks.
package main

import (
	"os"

	"github.com/wheelhoist/wheelhoist/internal/lab/labcmd"
)

func main() { os.Exit(labcmd.Main(os.Args[1:])) }
