package cli

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/spf13/cobra"

	"github.com/springweir/springweir/operator"
	"github.com/springweir/springweir/operator/fakeoperator"
	pb "github.com/springweir/springweir/operator/operatorpb"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session is a controller and a transcript of the commands run against it.
type session struct {
	t          *testing.T
	store      *fakeoperator.Store
	fleet      *fakeoperator.Fleet
	server     *httptest.Server
	dir        string
	transcript bytes.Buffer
	lastID     int
	// edits are the changes that the editor makes, one per call.
	edits []func(text string) string
	// answers is the operator's input to the next command.
	answers string
}

const exampleTree = `# Kliko
[zone "a"]
[pool "language"]
max-away = 1
[endpoint "engine-1"]
pool = language
zone = a
address = 10.1.0.11:9000
[endpoint "engine-2"]
pool = language
zone = a
address = 10.1.0.12:9000
`

func newSession(t *testing.T) *session {
	s := &session{t: t, store: &fakeoperator.Store{}, fleet: &fakeoperator.Fleet{}, dir: t.TempDir()}
	t.Setenv("TMPDIR", s.dir)
	s.server = httptest.NewServer(operator.NewServer(s.store, s.fleet).Handler())
	t.Cleanup(s.server.Close)
	return s
}

// putFirstVersion stores the first version directly, without a command.
func (s *session) putFirstVersion() {
	_, err := s.store.Put(s.t.Context(), &pb.PutConfigRequest{Text: []byte(exampleTree), Author: "anna", Note: "first", WriteId: "seed"})
	if err != nil {
		s.t.Fatal(err)
	}
}

// editBeforeNextPut commits another operator's change right before the next
// commit.
func (s *session) editBeforeNextPut(old, replacement string) {
	s.store.BeforeNextPut(func() {
		head, _ := s.store.Head(context.Background())
		c, err := s.store.Load(context.Background(), head)
		if err != nil {
			s.t.Error(err)
			return
		}
		text := strings.Replace(string(c.Text), old, replacement, 1)
		_, err = s.store.Put(context.Background(), &pb.PutConfigRequest{Base: head, Text: []byte(text), Author: "bela", Note: "edit", WriteId: fmt.Sprint("other-", head)})
		if err != nil {
			s.t.Error(err)
		}
	})
}

func (s *session) run(args ...string) {
	var out, errs bytes.Buffer
	app := &App{In: strings.NewReader(s.answers), Out: &out, Err: &errs, Edit: s.edit, NewID: s.newID}
	s.answers = ""
	all := append([]string{"--server", s.server.Listener.Addr().String()}, args...)
	code := app.Run(s.t.Context(), all)
	fmt.Fprintf(&s.transcript, "$ springweirctl %s\n%s", strings.Join(args, " "), out.String())
	for line := range strings.Lines(errs.String()) {
		s.transcript.WriteString("! " + line)
	}
	fmt.Fprintf(&s.transcript, "exit %d\n\n", code)
}

func (s *session) newID() string {
	s.lastID++
	return fmt.Sprint("w", s.lastID)
}

func (s *session) edit(_ context.Context, file string) error {
	if len(s.edits) == 0 {
		return &EditorError{Cause: errors.New("no editor")}
	}
	change := s.edits[0]
	s.edits = s.edits[1:]
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return os.WriteFile(file, []byte(change(string(text))), 0o600)
}

func (s *session) writeFile(name, text string) string {
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

var tempName = regexp.MustCompile(`springweir-\d+\.ini`)

// compareGolden compares the transcript with the golden file named after the
// test.
func (s *session) compareGolden() {
	s.t.Helper()
	got := strings.ReplaceAll(s.transcript.String(), s.server.Listener.Addr().String(), "SERVER")
	got = strings.ReplaceAll(got, s.dir, "DIR")
	got = tempName.ReplaceAllString(got, "springweir-TEMP.ini")
	golden := filepath.Join("testdata", s.t.Name()+".golden")
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			s.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		s.t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		s.t.Errorf("(-want +got)\n%s", diff)
	}
}

func TestConfigSession(t *testing.T) {
	s := newSession(t)
	s.run("config", "get")
	s.run("config", "put", "--base", "0", s.writeFile("tree.ini", exampleTree), "--author", "anna")
	s.run("config", "get")
	s.run("config", "get", "-o", "json")
	s.run("config", "set", "pool language zone a", "max-away", "2", "--author", "anna")
	s.run("config", "set", "pool language zone a", "max-away", "2")
	s.run("config", "get", "--explain", "pool language zone a")
	s.run("config", "diff", "--from", "1")
	s.run("config", "set", "--unset", "pool language", "max-away", "--author", "bela")
	s.run("config", "history")
	s.run("config", "get", "--version", "9")
	s.compareGolden()
}

func TestRefusedSession(t *testing.T) {
	s := newSession(t)
	bad := s.writeFile("bad.ini", "[pool \"language\"]\nmax-awya = 1\nretry-budget = 0.1\n")
	s.run("config", "check", bad)
	s.run("config", "check", bad, "-o", "json")
	s.run("config", "check", s.writeFile("good.ini", exampleTree))
	s.run("config", "check", "--process", "entry", s.writeFile("process.ini", "[process]\nvm = entry-1\n"))
	s.run("config", "check", s.dir+"/gone.ini")
	s.run("config", "set", "pool language", "max-away", "0")
	s.run("config", "set", "nonsense", "max-away", "1")
	s.run("config", "put", bad, "--base", "0")
	s.run("config", "put", bad)
	s.run("drain")
	s.run("drian", "engine-1")
	s.run("status", "-o", "yaml")
	s.compareGolden()
}

func TestConflictSession(t *testing.T) {
	s := newSession(t)
	s.putFirstVersion()
	s.editBeforeNextPut("# Kliko", "# Kliko\n[defaults]\nspill = no")
	s.run("config", "set", "pool language", "max-away", "2")
	s.editBeforeNextPut("max-away = 2", "max-away = 3")
	s.run("config", "set", "pool language", "max-away", "4")
	s.run("config", "put", "--base", "1", s.writeFile("tree.ini", strings.Replace(exampleTree, "max-away = 1", "max-away = 5", 1)))
	s.run("config", "put", "--base", "1", "--merge", "-o", "json", s.writeFile("tree.ini", strings.Replace(exampleTree, "max-away = 1", "max-away = 5", 1)))
	s.run("config", "put", "--base", "1", "--merge", s.writeFile("tree.ini", strings.Replace(exampleTree, "max-away = 1", "max-away = 1\nfloor = 0", 1)))
	s.run("config", "get")
	s.compareGolden()
}

func TestEditSession(t *testing.T) {
	s := newSession(t)
	s.putFirstVersion()
	replace := func(old, replacement string) func(string) string {
		return func(text string) string { return strings.Replace(text, old, replacement, 1) }
	}
	// An invalid value is reported and corrected; a concurrent edit is merged.
	s.edits = []func(string) string{replace("max-away = 1", "max-away = one"), replace("max-away = one", "max-away = 2")}
	s.answers = "y\ny\n"
	s.editBeforeNextPut("# Kliko", "# Kliko\n[defaults]\nspill = no")
	s.run("config", "edit")
	// Both edits change the same key; the operator keeps their value.
	s.edits = []func(string) string{replace("max-away = 2", "max-away = 4")}
	s.answers = "m\ny\n"
	s.editBeforeNextPut("max-away = 2", "max-away = 3")
	s.run("config", "edit")
	// Both edits change the same key; the operator quits and the text is kept.
	s.edits = []func(string) string{replace("max-away = 4", "max-away = 6")}
	s.answers = "q\n"
	s.editBeforeNextPut("max-away = 4", "max-away = 5")
	s.run("config", "edit")
	// Without input nothing is merged.
	s.edits = []func(string) string{replace("spill = no", "spill = yes")}
	s.editBeforeNextPut("max-away = 5", "max-away = 7")
	s.run("config", "edit")
	s.edits = []func(string) string{func(text string) string { return text }}
	s.run("config", "edit")
	s.run("config", "edit")
	s.run("config", "get")
	kept, err := filepath.Glob(filepath.Join(s.dir, "springweir-*.ini"))
	if err != nil || len(kept) != 3 {
		t.Errorf("kept %v, want the texts of the three edits that failed", kept)
	}
	s.compareGolden()
}

func TestPlanSession(t *testing.T) {
	s := newSession(t)
	s.putFirstVersion()
	s.fleet.Set(&pb.FleetStatus{Endpoints: []*pb.Endpoint{{Name: "engine-1", Reachable: true, Streams: 2}}})
	s.run("drain", "--preview", "engine-1")
	s.run("drain", "engine-1")
	s.run("drain", "engine-1")
	s.run("withdraw", "engine-2")
	s.run("withdraw", "--force", "engine-2")
	s.run("undrain", "engine-2")
	s.run("undrain", "engine-1", "-o", "json")
	s.run("replace", "engine-1", "engine-2")
	s.run("drain", "engine-9")
	s.compareGolden()
}

func TestStatusSession(t *testing.T) {
	s := newSession(t)
	s.fleet.Set(&pb.FleetStatus{
		Vm: "entry-1", Zone: "a",
		Config: &pb.ConfigState{Version: 7, Pending: []*pb.PendingZone{{Zone: "c", Confirmed: 6, Missing: []string{"entry-5", "entry-6"}}}},
		Vms:    []*pb.VM{{Name: "entry-1", Zone: "a", Config: 7, Serving: true}, {Name: "entry-5", Zone: "c", Reason: "config-unconfirmed"}, {Name: "entry-7", Zone: "b", Leaving: true}},
		Endpoints: []*pb.Endpoint{
			{Name: "engine-1", Zone: "a", Pool: "language", Role: "prefill", Incarnation: "i4", Streams: 3, Leaving: true, Withheld: true, Reachable: true, AgeMs: 480, Models: []string{"permit-7b@3.1"}, Order: "o-17", WaitingFor: []string{"entry-5 does not answer"}},
			{Name: "booking-1", Zone: "a", Service: "slots"},
		},
		Leases:      []*pb.Lease{{Pool: "language", Zone: "a", Holder: "entry-1", Fence: 12}, {Pool: "language", Zone: "c"}},
		Unavailable: []string{"membership list"},
		Decisions:   []*pb.Decision{{Pool: "language", Zone: "a", Endpoint: "engine-2", Action: "role prefill -> decode", Reason: "minimum-stay", Text: "41s of 2m0s"}},
	})
	s.run("status")
	s.run("plan")
	s.run("plan", "-o", "json")
	s.compareGolden()
}

func TestPendingAndUnreachableSession(t *testing.T) {
	s := newSession(t)
	s.putFirstVersion()
	s.store.SetPending(&pb.PendingZone{Zone: "b", Confirmed: 1, Missing: []string{"entry-4"}})
	s.run("config", "set", "pool language", "max-away", "2", "--wait", "0s")
	s.run("drain", "engine-1", "--wait", "0s", "-o", "json")
	s.run("config", "wait", "--timeout", "0s")
	s.store.SetPending()
	s.run("config", "wait", "3")
	s.run("config", "wait", "four")
	s.store.SetDown(true)
	s.run("config", "get")
	s.compareGolden()
}

// TestEveryCommandHasAnExample checks that every command has a description and
// an example.
func TestEveryCommandHasAnExample(t *testing.T) {
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		if c.Example == "" || c.Short == "" {
			t.Errorf("%s: no example or no description", c.CommandPath())
		}
		for _, child := range c.Commands() {
			walk(child)
		}
	}
	walk(New().Root())
}

func TestCompletion(t *testing.T) {
	s := newSession(t)
	s.run("completion", "bash")
	s.run("__complete", "config", "h")
	got := s.transcript.String()
	if !strings.Contains(got, "bash completion") || !strings.Contains(got, "history\tList the versions") {
		t.Errorf("got %.400s", got)
	}
}

// TestRunEditor runs real programs with arguments as the editor.
func TestRunEditor(t *testing.T) {
	s := newSession(t)
	file := s.writeFile("tree.ini", "max-away = 1\n")
	t.Setenv("VISUAL", "")
	t.Setenv("EDITOR", "sed -i s/1/2/")
	if err := runEditor(t.Context(), file); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil || string(text) != "max-away = 2\n" {
		t.Errorf("got %q, %v", text, err)
	}
	t.Setenv("VISUAL", "false")
	var failed *EditorError
	if err := runEditor(t.Context(), file); !errors.As(err, &failed) {
		t.Errorf("got %v, want *EditorError", err)
	}
}
