package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/springweir/springweir/settings"
)

const pagesDir = "../../docs/operators"

// TestOperatorPagesMatchCode guards against outdated operators' pages: their
// commands must parse, their settings must be valid, and the metrics that they
// name must exist in the source.
func TestOperatorPagesMatchCode(t *testing.T) {
	files, err := filepath.Glob(pagesDir + "/*.md")
	if err != nil || len(files) < 9 {
		t.Fatalf("pages %v, %v", files, err)
	}
	source := goSource(t)
	commands, trees := 0, 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for kind, block := range fencedBlocks(string(text)) {
			switch {
			case strings.HasPrefix(kind, "sh"):
				commands += checkCommands(t, file, block)
			case strings.HasPrefix(kind, "ini"):
				trees++
				checkSettings(t, file, strings.TrimPrefix(kind, "ini "), block)
			}
		}
		for _, name := range regexp.MustCompile(`springweir_[a-z_]+`).FindAllString(string(text), -1) {
			if !strings.Contains(source, name) {
				t.Errorf("%s: metric %s is not in the source", file, name)
			}
		}
	}
	if commands < 20 || trees < 3 {
		t.Errorf("found %d commands and %d settings texts; has the format of the pages changed?", commands, trees)
	}
}

// fencedBlocks yields the fenced blocks of a page, each with its info string.
func fencedBlocks(page string) func(yield func(kind, text string) bool) {
	return func(yield func(kind, text string) bool) {
		parts := strings.Split(page, "```")
		for i := 1; i < len(parts); i += 2 {
			kind, text, _ := strings.Cut(parts[i], "\n")
			if !yield(kind, text) {
				return
			}
		}
	}
}

var shellWord = regexp.MustCompile(`'[^']*'|\S+`)

func checkCommands(t *testing.T, file, block string) int {
	count := 0
	for line := range strings.Lines(block) {
		line, _, _ = strings.Cut(strings.TrimSpace(line), " > ")
		args := shellWord.FindAllString(line, -1)
		if len(args) == 0 || args[0] != "springweirctl" {
			continue
		}
		count++
		for i := range args {
			args[i] = strings.Trim(args[i], "'")
		}
		c, rest, err := New().Root().Find(args[1:])
		if err == nil {
			err = c.ParseFlags(rest)
		}
		if err == nil {
			err = c.ValidateArgs(c.Flags().Args())
		}
		if err != nil || !c.Runnable() {
			t.Errorf("%s: %s: %v", file, line, err)
		}
	}
	return count
}

func checkSettings(t *testing.T, file, kind, text string) {
	var err error
	switch kind {
	case "tree":
		_, err = settings.ParseTree(file, []byte(text))
	case "process":
		for _, process := range []settings.Kind{settings.EntryKind, settings.ControllerKind} {
			if err == nil {
				_, err = settings.ParseProcess(file, []byte(text), process)
			}
		}
	default:
		t.Errorf("%s: an INI block is marked neither tree nor process", file)
	}
	if err != nil {
		t.Errorf("%s: %v", file, err)
	}
}

// goSource returns all non-test Go source files as one text.
func goSource(t *testing.T) string {
	var all strings.Builder
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}
