// Command generate writes the reference page of the command line to the file given as its argument.
package main

import (
	"fmt"
	"os"

	"github.com/oriolehub/oriolehub/cmd/oriolehub/cmds"
)

const pageMode = 0o644

func main() {
	if err := os.WriteFile(os.Args[1], []byte(cmds.Table().Markdown()), pageMode); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
