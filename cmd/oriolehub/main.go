// Command oriolehub distributes model weights and routes requests while it does.
package main

import (
	"os"

	"github.com/oriolehub/oriolehub/cmd/oriolehub/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
