package settings

import (
	"encoding/hex"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Type is the type of a key's value.
type Type string

// The types of value and their syntax.
const (
	// Duration is a number with us, ms, s, m or h.
	Duration Type = "duration"
	// Integer is a whole number.
	Integer Type = "integer"
	// Number is a decimal number.
	Number Type = "number"
	// Percent is a number with %.
	Percent Type = "percent"
	// Size is a number with B, KiB, MiB or GiB.
	Size Type = "size"
	// Rate is a number with /s, /m or /h.
	Rate Type = "rate"
	// SizeRate is a size with /s.
	SizeRate Type = "size rate"
	// Flag is yes or no.
	Flag Type = "flag"
	// Choice is one of a few words.
	Choice Type = "choice"
	// Name is a name of lower-case letters, digits, '.', '_' and '-'.
	Name Type = "name"
	// Names is a comma-separated list of names.
	Names Type = "names"
	// Address is an IP number and a port.
	Address Type = "address"
	// Addresses is a comma-separated list of addresses.
	Addresses Type = "addresses"
	// Digests is a comma-separated list of SHA-256 sums in hexadecimal.
	Digests Type = "digests"
	// Versions is a comma-separated list of name@version.
	Versions Type = "versions"
	// Version is the version of a model's weights.
	Version Type = "version"
)

// Value is a validated value. The zero Value is the value of an unset key.
type Value struct {
	text string
	// number is in the type's base unit: nanoseconds, bytes, a fraction of one for a percentage, a
	// count per second for a rate, the index of a choice. Integers are exact below 2^53.
	number float64
	list   []string
}

// Text returns the value as written.
func (v Value) Text() string { return v.text }

// Duration returns a Duration value.
func (v Value) Duration() time.Duration { return time.Duration(v.number) }

// Int returns an Integer or Size value.
func (v Value) Int() int64 { return int64(v.number) }

// Float returns a Number, a Percent as a fraction of one, or a Rate or SizeRate per second.
func (v Value) Float() float64 { return v.number }

// Bool returns a Flag value.
func (v Value) Bool() bool { return v.number != 0 }

// List returns a copy of the items of a list.
func (v Value) List() []string { return append([]string(nil), v.list...) }

// parser parses the text of a value of a key.
type parser func(k *Key, text string) (Value, bool)

// suffix is a unit suffix and its factor to the base unit. In a list of suffixes, one that ends in
// another comes before it.
type suffix struct {
	text   string
	factor float64
}

var (
	durationUnits = []suffix{{"us", float64(time.Microsecond)}, {"ms", float64(time.Millisecond)}, {"s", float64(time.Second)}, {"m", float64(time.Minute)}, {"h", float64(time.Hour)}}
	sizeUnits     = []suffix{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}
	sizeRateUnits = []suffix{{"KiB/s", 1 << 10}, {"MiB/s", 1 << 20}, {"GiB/s", 1 << 30}, {"B/s", 1}}
	rateUnits     = []suffix{{"/s", 1}, {"/m", 1.0 / 60}, {"/h", 1.0 / 3600}}
	percentUnits  = []suffix{{"%", 0.01}}
)

var parsers = map[Type]parser{
	Duration:  withUnits(durationUnits),
	Integer:   parseInteger,
	Number:    withUnits([]suffix{{"", 1}}),
	Percent:   withUnits(percentUnits),
	Size:      withUnits(sizeUnits),
	Rate:      withUnits(rateUnits),
	SizeRate:  withUnits(sizeRateUnits),
	Flag:      parseFlag,
	Choice:    parseChoice,
	Name:      parseText(namePattern.MatchString),
	Names:     parseList(namePattern.MatchString),
	Address:   parseText(isAddress),
	Addresses: parseList(isAddress),
	Digests:   parseList(isDigest),
	Versions:  parseList(isVersioned),
	Version:   parseText(isVersion),
}

// Parse parses a value of the key and reports whether the text is valid for the key's type. It does
// not check the range; see InRange.
func (k *Key) Parse(text string) (Value, bool) {
	if text == "" {
		return Value{}, k.Default == "" && !k.Required
	}
	return parsers[k.Type](k, text)
}

// InRange reports whether v lies within the key's range.
func (k *Key) InRange(v Value) bool {
	if k.Min == "" {
		return true
	}
	low, _ := parsers[k.Type](k, k.Min)
	high, _ := parsers[k.Type](k, k.Max)
	return v.number >= low.number && v.number <= high.number
}

func withUnits(units []suffix) parser {
	return func(_ *Key, text string) (Value, bool) {
		for _, u := range units {
			digits, found := strings.CutSuffix(text, u.text)
			if !found {
				continue
			}
			n, err := strconv.ParseFloat(digits, 64)
			if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
				continue
			}
			return Value{text: text, number: n * u.factor}, true
		}
		return Value{}, false
	}
}

func parseInteger(_ *Key, text string) (Value, bool) {
	n, err := strconv.ParseInt(text, 10, 53)
	return Value{text: text, number: float64(n)}, err == nil
}

func parseFlag(_ *Key, text string) (Value, bool) {
	switch text {
	case "yes":
		return Value{text: text, number: 1}, true
	case "no":
		return Value{text: text}, true
	}
	return Value{}, false
}

func parseChoice(k *Key, text string) (Value, bool) {
	i := slices.Index(k.Choices, text)
	return Value{text: text, number: float64(i)}, i >= 0
}

func parseText(valid func(string) bool) parser {
	return func(_ *Key, text string) (Value, bool) { return Value{text: text}, valid(text) }
}

func parseList(valid func(string) bool) parser {
	return func(_ *Key, text string) (Value, bool) {
		items := strings.Split(text, ",")
		for i := range items {
			items[i] = strings.TrimSpace(items[i])
			if !valid(items[i]) {
				return Value{}, false
			}
		}
		return Value{text: text, list: items}, true
	}
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= math.MaxUint16
}

func isDigest(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == 32 && strings.ToLower(text) == text
}

func isVersioned(text string) bool {
	name, version, found := strings.Cut(text, "@")
	return found && namePattern.MatchString(name) && isVersion(version)
}

func isVersion(text string) bool { return namePattern.MatchString(text) }
