package settings

import (
	"regexp"
	"strings"
)

// Kind is the first word of a section's header.
type Kind string

// The kinds of section. Process, entry and controller belong to the process file,
// gateway to the gateway file.
const (
	Defaults     Kind = "defaults"
	RegionKind   Kind = "region"
	ZoneKind     Kind = "zone"
	PoolKind     Kind = "pool"
	ServiceKind  Kind = "service"
	EndpointKind Kind = "endpoint"
	OrgKind      Kind = "organisation"
	ModelKind    Kind = "model"

	ProcessKind    Kind = "process"
	EntryKind      Kind = "entry"
	ControllerKind Kind = "controller"

	GatewayKind Kind = "gateway"
)

// treeKinds are the kinds of section of the operators' tree.
var treeKinds = []Kind{Defaults, RegionKind, ZoneKind, PoolKind, ServiceKind, EndpointKind, OrgKind, ModelKind}

// processKinds are the kinds of section of the process file.
var processKinds = []Kind{ProcessKind, EntryKind, ControllerKind}

// gatewayKinds are the kinds of section of the gateway file.
var gatewayKinds = []Kind{GatewayKind}

// Section identifies a section. Name is empty for kinds that have a single section. Zone is set
// only for the section of a pool or service for one zone.
type Section struct {
	Kind Kind
	Name string
	Zone string
}

// String returns the header without its brackets, such as pool "p" zone "a".
func (s Section) String() string {
	var b strings.Builder
	b.WriteString(string(s.Kind))
	if s.Name != "" {
		b.WriteString(` "` + s.Name + `"`)
	}
	if s.Zone != "" {
		b.WriteString(` zone "` + s.Zone + `"`)
	}
	return b.String()
}

// hasName reports whether sections of the kind have a name.
func (k Kind) hasName() bool {
	switch k {
	case Defaults, ProcessKind, EntryKind, ControllerKind, GatewayKind:
		return false
	}
	return true
}

// perZone reports whether the kind may have sections for one zone.
func (k Kind) perZone() bool { return k == PoolKind || k == ServiceKind }

var (
	headerPattern = regexp.MustCompile(`^([a-z]+)(?:\s+"([^"]*)")?(?:\s+zone\s+"([^"]*)")?$`)
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
)

// ParseSection parses a header without its brackets. The quotes around names are optional, because
// operators omit them on the command line.
func ParseSection(text string) (Section, bool) {
	m := headerPattern.FindStringSubmatch(quoteWords(text))
	if m == nil {
		return Section{}, false
	}
	s := Section{Kind: Kind(m[1]), Name: m[2], Zone: m[3]}
	if s.Kind.hasName() != (s.Name != "") || (s.Name != "" && !namePattern.MatchString(s.Name)) {
		return Section{}, false
	}
	if s.Zone != "" && (!s.Kind.perZone() || !namePattern.MatchString(s.Zone)) {
		return Section{}, false
	}
	return s, true
}

// quoteWords adds missing quotes around the second and fourth word.
func quoteWords(text string) string {
	words := strings.Fields(text)
	for i := 1; i < len(words); i += 2 {
		if !strings.HasPrefix(words[i], `"`) {
			words[i] = `"` + words[i] + `"`
		}
	}
	return strings.Join(words, " ")
}

// MarshalText implements encoding.TextMarshaler as String.
func (s Section) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler as ParseSection. The error
// is *NoSuchError.
func (s *Section) UnmarshalText(text []byte) error {
	parsed, ok := ParseSection(string(text))
	if !ok {
		return &NoSuchError{Section: Section{Name: string(text)}}
	}
	*s = parsed
	return nil
}
