package settings

import (
	"os"
	"reflect"
	"slices"
	"time"
)

// Process are the settings of one process.
type Process struct {
	// VM and Zone are those of the machine that the process runs on.
	VM   string `key:"vm"`
	Zone string `key:"zone"`
	// Platform is the address of the platform.
	Platform string `key:"platform"`
	// Callers, Peers, Operators and Metrics are addresses to listen on.
	// Callers is set for an entry only, Operators for a controller only.
	Callers   string `key:"callers"`
	Peers     string `key:"peers"`
	Operators string `key:"operators"`
	Metrics   string `key:"metrics"`
	// Advertise is where peers reach the process; empty means as bound.
	Advertise string `key:"advertise"`
	// Seeds are peer addresses of some entries of the zone.
	Seeds    []string `key:"seeds"`
	LogLevel int      `key:"log-level"`
	// StopGrace is the time that a planned stop gives open streams.
	StopGrace time.Duration `key:"stop-grace"`
	// BalancerDelay is the time between failing the health check and refusing
	// new requests at a planned stop (entry only).
	BalancerDelay time.Duration `key:"balancer-delay"`
}

// ParseProcess reads and checks a process file. One file serves both processes
// of a VM: kind is EntryKind or ControllerKind, and that section overrides only
// what it names of [process]. The error is *InvalidError.
func ParseProcess(file string, text []byte, kind Kind) (*Process, error) {
	d := parseDocument(file, text)
	check(d, processKinds)
	chain := d.chain(Section{Kind: kind})
	d.checkRequiredAlong(kind, chain)
	if err := d.invalid(); err != nil {
		return nil, err
	}
	p := &Process{}
	fillStruct(d, kind, chain, reflect.ValueOf(p).Elem())
	return p, nil
}

// checkRequiredAlong looks for required keys that no section of a chain sets.
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

// headerLine returns the index of a section's header, or -1, which makes the
// line of a problem zero: the text as a whole.
func (d *document) headerLine(s Section) int {
	if b, found := d.sections[s]; found {
		return b.line
	}
	return -1
}

// LoadProcess reads a process file. The error is *ReadError or *InvalidError.
func LoadProcess(file string, kind Kind) (*Process, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &ReadError{File: file, Cause: err}
	}
	return ParseProcess(file, text, kind)
}
