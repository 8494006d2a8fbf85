package settings

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// BenchmarkTreeMemory reports the heap bytes retained by a tree of the target size.
func BenchmarkTreeMemory(b *testing.B) {
	text := largeTree()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tree, err := ParseTree("t", text)
	if err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		tree.Fleet()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "kept-B")
	b.ReportMetric(float64(len(text)), "text-B")
	runtime.KeepAlive(text)
}

// BenchmarkParseTree parses a tree of the target size: 4,500 organisations, 2,400 engines, 28
// models and 6 zones.
func BenchmarkParseTree(b *testing.B) {
	text := largeTree()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseTree("t", text); err != nil {
			b.Fatal(err)
		}
	}
}

func largeTree() []byte {
	var b strings.Builder
	for i := range 6 {
		fmt.Fprintf(&b, "[zone \"z%d\"]\n", i)
	}
	var models []string
	for i := range 28 {
		fmt.Fprintf(&b, "[model \"m%d\"]\nversion = 1\n", i)
		models = append(models, fmt.Sprintf("m%d", i))
	}
	fmt.Fprintf(&b, "[pool \"p\"]\nmodels = %s\n", strings.Join(models, ", "))
	for i := range 2400 {
		fmt.Fprintf(&b, "[endpoint \"e%d\"]\npool = p\nzone = z%d\naddress = 10.0.%d.%d:9000\n", i, i%6, i/250, i%250)
	}
	for i := range 4500 {
		fmt.Fprintf(&b, "[organisation \"o%d\"]\nkey-hashes = %064x\ntoken-rate = 20/s\n", i, i)
	}
	return []byte(b.String())
}
