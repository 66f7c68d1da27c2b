package inspect

// checkServices reports services that get no request, and origins of weights that are not read.
func (k *checker) checkServices() {
	named := map[string]bool{}
	for i := range k.c.Routes {
		for _, t := range k.c.Routes[i].Targets {
			named[t.Service] = true
		}
	}
	origin := -1
	for i := range k.c.Services {
		s, at := &k.c.Services[i], services.entry(i)
		switch {
		case s.Origin != nil && origin >= 0:
			k.add(problem{path: at.field("Origin"), reason: "weights are not read from this origin but from the first,", other: services.entry(origin)})
		case s.Origin != nil:
			origin = i
		case s.Name != "" && !named[s.Name]:
			k.add(problem{path: at, uses: []Path{at.field("Name")}, uncertain: !k.targetsKnown, reason: "no route names the service, so that it gets no request"})
		}
	}
}
