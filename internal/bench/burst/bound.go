package burst

// Links are the bandwidths of the network links in bytes per second.
type Links struct {
	// Origin is the bandwidth of the origin's link.
	Origin float64
	// Vm is the bandwidth of each VM's link in each direction.
	Vm float64
	// Region is the bandwidth of the link between two regions in each direction, 0 for no limit.
	Region float64
}

// Bound returns the lower bound, in seconds, of the time in which content of size bytes can reach all VMs.
//
// The origin must send the content at least once, each VM must receive it once, and the origin and the VMs together
// must send as many copies as there are VMs. If each region fetches an equal part of the content from the origin, the
// remaining parts must enter the region over its links, one from each other region.
func Bound(l Links, size float64, vms, regions int) float64 {
	n := float64(vms)
	bound := max(size/l.Origin, size/l.Vm, n*size/(l.Origin+n*l.Vm))
	if regions > 1 && l.Region > 0 {
		r := float64(regions)
		bound = max(bound, size*(r-1)/r/(l.Region*(r-1)))
	}
	return bound
}
