// Command oriolehub distributes model weights to VMs and routes requests to the upstreams that run there.
package main

import (
	"os"

	"github.com/oriolehub/oriolehub/cmd/oriolehub/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
