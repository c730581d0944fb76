// Command wheelhoist serves online and batch LLM inference on one shared fleet.
package main

import (
	"os"

	"github.com/wheelhoist/wheelhoist/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
