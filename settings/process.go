package settings

import (
	"os"
	"reflect"
	"slices"
	"time"
)

// Process holds the settings of one entry or controller process.
type Process struct {
	// VM and Zone are the name and zone of the VM on which the process runs.
	VM   string `key:"vm"`
	Zone string `key:"zone"`
	// Platform is the address of the platform.
	Platform string `key:"platform"`
	// Callers, Peers, Operators and Metrics are listen addresses. Callers is set only for an entry,
	// Operators only for a controller.
	Callers   string `key:"callers"`
	Peers     string `key:"peers"`
	Operators string `key:"operators"`
	Metrics   string `key:"metrics"`
	// Advertise is the address under which peers reach the process; empty means the bound address.
	Advertise string `key:"advertise"`
	// Seeds are the peer addresses of some entries of the zone, used if the platform is
	// unreachable.
	Seeds    []string `key:"seeds"`
	LogLevel int      `key:"log-level"`
	// StopGrace is the time that a planned stop leaves open streams and calls to finish.
	StopGrace time.Duration `key:"stop-grace"`
	// BalancerDelay is the time between failing the health check and refusing new requests during a
	// planned stop (entry only).
	BalancerDelay time.Duration `key:"balancer-delay"`
}

// ParseProcess parses and validates a process file. Both processes of a VM use the same file: kind
// is EntryKind or ControllerKind, and the section of that kind overrides the keys of [process] that
// it sets. The error is *InvalidError.
func ParseProcess(file string, text []byte, kind Kind) (*Process, error) {
	d := parseDocument(file, text)
	checkSections(d, processKinds)
	chain := d.chain(Section{Kind: kind})
	d.checkRequiredAlong(kind, chain)
	if err := d.invalid(); err != nil {
		return nil, err
	}
	p := &Process{}
	fillStruct(d, kind, chain, reflect.ValueOf(p).Elem())
	return p, nil
}

// checkRequiredAlong reports required keys that no section of a chain sets, unless another problem
// with the key was reported.
func (d *document) checkRequiredAlong(kind Kind, chain []Section) {
	for _, k := range KeysFor(kind) {
		if _, origin := d.effective(k, chain); k.Required && origin.BuiltIn() && !d.hasProblem(k.Name) {
			last := chain[len(chain)-1]
			d.problem(d.headerLine(last), last.String(), k.Name, MissingKey, "the key is not set", k.Expected())
		}
	}
}

func (d *document) hasProblem(key string) bool {
	return slices.ContainsFunc(d.problems, func(p Problem) bool { return p.Key == key })
}

// headerLine returns the line index of a section's header. It returns -1 for a missing section, so
// that a problem there gets line zero, which stands for the text as a whole.
func (d *document) headerLine(s Section) int {
	if b, found := d.sections[s]; found {
		return b.line
	}
	return -1
}

// LoadProcess reads, parses and validates a process file. The error is *ReadError or *InvalidError.
func LoadProcess(file string, kind Kind) (*Process, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &ReadError{File: file, Cause: err}
	}
	return ParseProcess(file, text, kind)
}
