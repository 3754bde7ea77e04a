// Command tanagerroad serves multi-stage model pipelines. Its subcommands are in package
// io/command.
package main

import (
	"os"

	"tanagerroad/io/command"
	"tanagerroad/platform"
)

func main() {
	os.Exit(command.Run(os.Args[1:], command.Config{Stdout: os.Stdout, Stderr: os.Stderr, Dialect: platform.Dialect{}}))
}
