// Command azurering runs an entry host or a host on the users' platform, and
// is the command line for operators.
package main

import (
	"context"
	"os"

	"azurering/app/verbs"
)

func main() {
	os.Exit(verbs.Run(context.Background(), os.Args, verbs.Config{Stdout: os.Stdout, Stderr: os.Stderr}))
}
