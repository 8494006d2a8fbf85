package docscheck

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const root = "../.."

// promiseCount is the number of promises, the points under "What must always hold".
const promiseCount = 9

// tree holds the names that the pages may refer to.
type tree struct {
	// tests holds the names of tests and benchmarks by directory.
	tests map[string]map[string]bool
	// paths holds files and directories, by path from the root.
	paths map[string]bool
	// targets holds the targets of make.
	targets map[string]bool
}

var (
	testFunc   = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark)\w*)\(`)
	makeTarget = regexp.MustCompile(`(?m)^([a-z-]+):`)
)

func readTree(t *testing.T) tree {
	t.Helper()
	tr := tree{tests: map[string]map[string]bool{}, paths: map[string]bool{}, targets: map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || name == "bin") {
			return fs.SkipDir
		}
		tr.paths[name] = true
		switch {
		case strings.HasSuffix(name, "_test.go"):
			tr.addTests(filepath.Dir(name), readFile(t, name))
		case entry.Name() == "Makefile" || strings.HasSuffix(name, ".mk"):
			for _, m := range makeTarget.FindAllStringSubmatch(readFile(t, name), -1) {
				tr.targets[m[1]] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

func (tr tree) addTests(dir, source string) {
	if tr.tests[dir] == nil {
		tr.tests[dir] = map[string]bool{}
	}
	for _, m := range testFunc.FindAllStringSubmatch(source, -1) {
		tr.tests[dir][m[1]] = true
	}
}

// hasTest reports whether any package has the test.
func (tr tree) hasTest(name string) bool {
	for _, tests := range tr.tests {
		if tests[name] {
			return true
		}
	}
	return false
}

func readFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var (
	testName  = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w*`)
	qualified = regexp.MustCompile("`([a-z0-9/]+)\\.((?:Test|Benchmark)\\w+)`")
	madeBy    = regexp.MustCompile("`make ([a-z-]+)`")
	link      = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	namedPath = regexp.MustCompile("`((?:docs|spec|scripts|cmd|internal)/[\\w./-]+|[A-Z]+\\.md)`")
	section   = regexp.MustCompile(`(?m)^## (\d)\. .*$`)
)

// namesProblems lists the tests, make targets and paths that a page refers to but that
// are not in the tree.
func (tr tree) namesProblems(page, text string) (problems []string) {
	for _, name := range testName.FindAllString(text, -1) {
		if !tr.hasTest(name) {
			problems = append(problems, fmt.Sprintf("%s: no test %s", page, name))
		}
	}
	for _, m := range madeBy.FindAllStringSubmatch(text, -1) {
		if !tr.targets[m[1]] {
			problems = append(problems, fmt.Sprintf("%s: no target %s", page, m[1]))
		}
	}
	for _, m := range link.FindAllStringSubmatch(text, -1) {
		if !tr.paths[filepath.Join(filepath.Dir(page), m[1])] {
			problems = append(problems, fmt.Sprintf("%s: no page %s", page, m[1]))
		}
	}
	for _, m := range namedPath.FindAllStringSubmatch(text, -1) {
		if !tr.paths[filepath.Clean(m[1])] {
			problems = append(problems, fmt.Sprintf("%s: no file %s", page, m[1]))
		}
	}
	return problems
}

// promiseProblems lists what is missing in the page of promises: a promise, its
// mechanism, a test in the stated package, or its section "Not proved". Tests named
// in that section do not count.
func (tr tree) promiseProblems(text string) (problems []string) {
	heads := section.FindAllStringSubmatchIndex(text, -1)
	for i, head := range heads {
		end := len(text)
		if i+1 < len(heads) {
			end = heads[i+1][0]
		}
		number := text[head[2]:head[3]]
		if number != fmt.Sprint(i+1) {
			problems = append(problems, fmt.Sprintf("promise %d is headed %s", i+1, number))
		}
		body := text[head[1]:end]
		for _, part := range []string{"**Mechanism.**", "**Tried.**", "**Not proved.**"} {
			if !strings.Contains(body, part) {
				problems = append(problems, fmt.Sprintf("promise %s has no %s", number, part))
			}
		}
		proved, _, _ := strings.Cut(body, "**Not proved.**")
		if !qualified.MatchString(proved) {
			problems = append(problems, fmt.Sprintf("promise %s has no test", number))
		}
	}
	if len(heads) != promiseCount {
		problems = append(problems, fmt.Sprintf("%d promises, want %d", len(heads), promiseCount))
	}
	return append(problems, tr.qualifiedProblems(text)...)
}

// qualifiedProblems lists the tests that are named without a package or with a wrong one.
func (tr tree) qualifiedProblems(text string) (problems []string) {
	for _, m := range qualified.FindAllStringSubmatch(text, -1) {
		if !tr.tests[m[1]][m[2]] {
			problems = append(problems, fmt.Sprintf("no test %s in %s", m[2], m[1]))
		}
	}
	for _, name := range testName.FindAllString(qualified.ReplaceAllString(text, ""), -1) {
		problems = append(problems, fmt.Sprintf("%s stands without its package", name))
	}
	return problems
}

func TestPromisesHaveTests(t *testing.T) {
	tr := readTree(t)
	for _, problem := range tr.promiseProblems(readFile(t, "docs/PROMISES.md")) {
		t.Errorf("docs/PROMISES.md: %s", problem)
	}
}

// TestPagesNameWhatExists checks every page of the repository except the changelog,
// which may refer to names that were removed.
func TestPagesNameWhatExists(t *testing.T) {
	tr := readTree(t)
	pages := 0
	for path := range tr.paths {
		if !strings.HasSuffix(path, ".md") || path == "CHANGELOG.md" {
			continue
		}
		pages++
		for _, problem := range tr.namesProblems(path, readFile(t, path)) {
			t.Error(problem)
		}
	}
	if pages < 15 {
		t.Errorf("found only %d pages; the root may be wrong", pages)
	}
}

// TestChecksDetectProblems verifies that each check can fail.
func TestChecksDetectProblems(t *testing.T) {
	tr := tree{
		tests:   map[string]map[string]bool{"a/b": {"TestOne": true}},
		paths:   map[string]bool{"docs/X.md": true},
		targets: map[string]bool{"model": true},
	}
	const good = "**Mechanism.** m\n**Tried.** `a/b.TestOne`\n**Not proved.** Nothing.\n"
	page := func(bodies ...string) (text string) {
		for i := range promiseCount {
			body := good
			if i < len(bodies) {
				body = bodies[i]
			}
			text += fmt.Sprintf("## %d. promise\n%s", i+1, body)
		}
		return text
	}
	names := func(text string) []string { return tr.namesProblems("docs/Y.md", text) }
	for _, tt := range []struct {
		name string
		got  []string
		want []string
	}{
		{"good page", tr.promiseProblems(page()), nil},
		{"good names", names("TestOne, `make model`, [x](X.md#y), `docs/X.md`, [z](https://a.b/c)"), nil},
		{"no test", tr.promiseProblems(page(strings.Replace(good, "`a/b.TestOne`", "", 1))), []string{"promise 1 has no test"}},
		{"test only in what is not proved", tr.promiseProblems(page("**Mechanism.** **Tried.** **Not proved.** `a/b.TestOne`\n")),
			[]string{"promise 1 has no test"}},
		{"no such test", tr.promiseProblems(page(good + "`a/b.TestTwo`\n")), []string{"no test TestTwo in a/b"}},
		{"wrong package", tr.promiseProblems(page(good + "`a.TestOne`\n")), []string{"no test TestOne in a"}},
		{"no package", tr.promiseProblems(page(good + "TestOne\n")), []string{"TestOne stands without its package"}},
		{"no word on what is not proved", tr.promiseProblems(page("**Mechanism.** **Tried.** `a/b.TestOne`\n")),
			[]string{"promise 1 has no **Not proved.**"}},
		{"a promise is missing", tr.promiseProblems("## 1. p\n" + good), []string{"1 promises, want 9"}},
		{"dead names", names("TestGone `make gone` [x](Gone.md) `docs/Gone.md`"), []string{
			"docs/Y.md: no test TestGone", "docs/Y.md: no target gone", "docs/Y.md: no page Gone.md", "docs/Y.md: no file docs/Gone.md"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(slices.Clone(tt.want), tt.got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
