package deployment

// Ports of the processes on their loopback addresses, below the ephemeral port range, so that no outgoing connection of
// another program uses them. SharedPort is the port for load reports of all processes and also the control port of side
// processes.
const (
	RequestPort = ":7101"
	ReadyPort   = ":7102"
	ControlPort = ":7103"
	SharedPort  = ":7104"
)
