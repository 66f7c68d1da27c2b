package burst

// Links are the rates of a burst in bytes a second.
type Links struct {
	Origin float64
	// Vm is the rate of each VM's link, each way.
	Vm float64
	// Region is the rate of the link between two regions, each way.
	Region float64
}

// Bound returns the least time in seconds in which content of size bytes can reach all VMs of the regions.
//
// The content must leave the origin once, enter every VM once, and be sent as often as there are VMs by
// the origin and the VMs together. Of what a region does not draw from the origin itself, each byte must
// enter it over its links; with each region drawing an equal part, the rest comes over as many links as
// there are other regions.
func Bound(l Links, size float64, vms, regions int) float64 {
	n := float64(vms)
	bound := max(size/l.Origin, size/l.Vm, n*size/(l.Origin+n*l.Vm))
	if regions > 1 && l.Region > 0 {
		r := float64(regions)
		bound = max(bound, size*(r-1)/r/(l.Region*(r-1)))
	}
	return bound
}
