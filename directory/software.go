package directory

// Software identifies one version of the software of a service. A stream may be continued only by the
// software that began it, and a KV cache is imported only by the software that produced it.
type Software struct{ Service, Version string }

// Software returns the software that an endpoint runs.
func (r *Registration) Software() Software {
	return Software{Service: r.Service, Version: r.SoftwareVersion}
}
