// Command tanagerroad serves multi-stage model pipelines; package io/command
// holds its subcommands.
package main

import (
	"os"

	"tanagerroad/io/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
