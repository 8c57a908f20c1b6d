// Command azurering runs an entry host and is the operators' command line.
package main

import (
	"context"
	"os"

	"azurering/app/verbs"
)

func main() {
	os.Exit(verbs.Run(context.Background(), os.Args, verbs.Config{Out: os.Stdout, Err: os.Stderr}))
}
