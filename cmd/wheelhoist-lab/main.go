// Command wheelhoist-lab runs emulated sites, applies load and faults, and checks the results.
package main

import (
	"os"

	"github.com/wheelhoist/wheelhoist/internal/lab/labcmd"
)

func main() { os.Exit(labcmd.Main(os.Args[1:])) }
