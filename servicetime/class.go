package servicetime

import (
	"math/bits"
	"strings"
)

// key identifies a class of one level. Fields of finer levels are empty.
type key struct {
	level                int
	service, route, path string
	size                 int
	organisation         string
}

// routeLevel is the level of the route in the order of levels.
const routeLevel = 1

// maxPathBytes bounds the part of a path that tells requests apart, so that the size of the table is bounded.
const maxPathBytes = 128

// levels returns the classes of a request, the coarsest first.
func (c Class) levels() []key {
	path := c.Path[:min(len(c.Path), maxPathBytes)]
	size := sizeClass(c.BodyBytes)
	list := []key{
		{level: 0, service: c.Service},
		{level: routeLevel, service: c.Service, route: c.Route},
		{level: 2, service: c.Service, route: c.Route, size: size},
		{level: 3, service: c.Service, route: c.Route, size: size, path: withoutIdentifiers(path)},
		{level: 4, service: c.Service, route: c.Route, size: size, path: path},
	}
	if c.Organisation != "" {
		list = append(list, key{level: 5, service: c.Service, route: c.Route, size: size, path: path, organisation: c.Organisation})
	}
	return list
}

// smallBody is the size in bytes below which bodies are not told apart.
const smallBody = 256

// sizeClass returns the class of a body: one for each doubling of its size.
func sizeClass(bytes int) int { return bits.Len(uint(max(0, bytes) / smallBody)) }

// withoutIdentifiers replaces the segments of a path that contain a digit.
func withoutIdentifiers(path string) string {
	if !strings.ContainsAny(path, "0123456789") {
		return path
	}
	segments := strings.Split(path, "/")
	for i, s := range segments {
		if strings.ContainsAny(s, "0123456789") {
			segments[i] = "*"
		}
	}
	return strings.Join(segments, "/")
}
