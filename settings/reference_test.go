package settings

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestReferencePageUpToDate fails if the committed page differs from the one generated from Groups.
// Regenerate it with: springweirctl reference > docs/operators/settings.md
func TestReferencePageUpToDate(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(page), Reference()); diff != "" {
		t.Errorf("docs/operators/settings.md is out of date (-page +generated)\n%s", diff)
	}
}
