package cli

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

func (a *App) configCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "config",
		Short:   "Read, check and change the settings tree",
		Example: "  springweirctl config get",
	}
	c.AddCommand(a.getCommand(), a.checkCommand(), a.diffCommand(), a.historyCommand(), a.waitCommand())
	c.AddCommand(a.setCommand(), a.putCommand(), a.editCommand())
	return c
}

// configReport is the JSON output of one version with its text.
type configReport struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Note    string `json:"note"`
	Written string `json:"written"`
	Text    string `json:"text"`
}

func (a *App) getCommand() *cobra.Command {
	var version uint64
	var effective, explain bool
	c := &cobra.Command{
		Use:   "get [SECTION]",
		Short: "Print the tree, or the values that hold for a section",
		Example: `  springweirctl config get
  springweirctl config get --effective --explain 'pool language zone a'`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if (len(args) > 0) != (effective || explain) {
				return &UsageError{Text: "a section and --effective or --explain go together"}
			}
			config, err := a.client().GetConfig(cmd.Context(), version)
			if err != nil {
				return err
			}
			if len(args) > 0 {
				return a.printEffective(config, args[0], explain)
			}
			report := configReport{config.Version, config.Author, config.Note, formatTime(config.Written), string(config.Text)}
			return a.printRaw(report, report.Text)
		},
	}
	c.Flags().Uint64Var(&version, "version", 0, "version to read; 0 is the newest")
	c.Flags().BoolVar(&effective, "effective", false, "print every value that holds for the section")
	c.Flags().BoolVar(&explain, "explain", false, "also print where each value comes from and what it may be")
	return c
}

// effectiveReport is the JSON output of one effective value.
type effectiveReport struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Origin string `json:"origin"`
	Line   int    `json:"line"`
	Want   string `json:"want"`
	Doc    string `json:"doc"`
}

func (a *App) printEffective(config *pb.Config, name string, explain bool) error {
	tree, err := settings.ParseTree("tree", config.Text)
	if err != nil {
		return err
	}
	section, err := parseSection(name)
	if err != nil {
		return err
	}
	var list []effectiveReport
	for _, k := range settings.KeysFor(section.Kind) {
		v, origin, err := tree.Effective(section, k.Name)
		if err != nil {
			return err
		}
		list = append(list, effectiveReport{k.Name, v.Text(), origin.String(), origin.Line, k.Expected(), k.Doc})
	}
	return a.print(list, func(w io.Writer) {
		for _, r := range list {
			writeEffective(w, r, explain)
		}
	})
}

func writeEffective(w io.Writer, r effectiveReport, explain bool) {
	if !explain {
		fmt.Fprintf(w, "%s = %s\n", r.Key, r.Value)
		return
	}
	origin := r.Origin
	if r.Line > 0 {
		origin += " line " + strconv.Itoa(r.Line)
	}
	fmt.Fprintf(w, "%s = %s\t%s\t%s\n", r.Key, r.Value, origin, r.Want)
}

func parseSection(text string) (settings.Section, error) {
	section, ok := settings.ParseSection(strings.Trim(text, "[]"))
	if !ok {
		return section, &UsageError{Text: fmt.Sprintf("%q is no section; want such as 'pool language' or 'pool language zone a'", text)}
	}
	return section, nil
}

func (a *App) checkCommand() *cobra.Command {
	var process string
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file without any server; - reads standard input",
		Example: `  springweirctl config check tree.ini
  springweirctl config check --process entry /etc/springweir.ini`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := a.readFile(args[0])
			if err != nil {
				return err
			}
			if err := checkText(args[0], text, process); err != nil {
				return err
			}
			return a.print(checkReport{args[0], true}, func(w io.Writer) { fmt.Fprintf(w, "%s: good\n", args[0]) })
		},
	}
	c.Flags().StringVar(&process, "process", "", "check a process file, for entry or controller, rather than a tree")
	return c
}

type checkReport struct {
	File string `json:"file"`
	Good bool   `json:"good"`
}

func checkText(file string, text []byte, process string) error {
	var err error
	switch settings.Kind(process) {
	case "":
		_, err = settings.ParseTree(file, text)
	case settings.EntryKind, settings.ControllerKind:
		_, err = settings.ParseProcess(file, text, settings.Kind(process))
	default:
		err = &UsageError{Text: fmt.Sprintf("--process %q: want entry or controller", process)}
	}
	return err
}

// readFile reads a file, or standard input if name is "-".
func (a *App) readFile(name string) ([]byte, error) {
	read := func() ([]byte, error) { return os.ReadFile(name) }
	if name == "-" {
		read = func() ([]byte, error) { return io.ReadAll(a.input) }
	}
	text, err := read()
	if err != nil {
		return nil, &settings.ReadError{File: name, Cause: err}
	}
	return text, nil
}

func (a *App) diffCommand() *cobra.Command {
	var from, to uint64
	c := &cobra.Command{
		Use:   "diff [FILE]",
		Short: "Show the keys that differ between the tree and a file, or two versions",
		Example: `  springweirctl config diff tree.ini
  springweirctl config diff --from 41 --to 42`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 && from == 0 {
				return &UsageError{Text: "want a file or --from"}
			}
			base, err := a.client().GetConfig(cmd.Context(), from)
			if err != nil {
				return err
			}
			next, err := a.diffTarget(cmd, args, to)
			if err != nil {
				return err
			}
			changes, err := settings.Diff(base.Text, next)
			if err != nil {
				return err
			}
			return a.print(changes, func(w io.Writer) { writeChanges(w, changes) })
		},
	}
	c.Flags().Uint64Var(&from, "from", 0, "version to start from; 0 is the newest")
	c.Flags().Uint64Var(&to, "to", 0, "version to compare with when there is no file; 0 is the newest")
	return c
}

func (a *App) diffTarget(cmd *cobra.Command, args []string, to uint64) ([]byte, error) {
	if len(args) > 0 {
		return a.readFile(args[0])
	}
	next, err := a.client().GetConfig(cmd.Context(), to)
	return next.GetText(), err
}

func writeChanges(w io.Writer, changes []settings.Change) {
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
}

func (a *App) historyCommand() *cobra.Command {
	var before uint64
	var limit uint32
	c := &cobra.Command{
		Use:     "history",
		Short:   "List the versions of the tree, newest first",
		Example: "  springweirctl config history --limit 5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := a.client().History(cmd.Context(), before, limit)
			if err != nil {
				return err
			}
			return a.print(&pb.HistoryResponse{Versions: list}, func(w io.Writer) {
				fmt.Fprintln(w, "VERSION\tWRITTEN\tAUTHOR\tNOTE")
				for _, v := range list {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", v.Version, formatTime(v.Written), v.Author, v.Note)
				}
			})
		},
	}
	c.Flags().Uint64Var(&before, "before", 0, "list versions below this one; 0 starts at the newest")
	c.Flags().Uint32Var(&limit, "limit", 20, "versions to list, at most 200")
	return c
}

// formatTime formats a Unix time, which was taken from the writer's wall clock,
// in UTC.
func formatTime(seconds int64) string {
	if seconds == 0 {
		return "-"
	}
	return time.Unix(seconds, 0).UTC().Format(time.RFC3339)
}

func (a *App) waitCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "wait [VERSION]",
		Short:   "Wait until a version, by default the newest, is in force everywhere",
		Example: "  springweirctl config wait 42 --timeout 1m",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			version, err := parseVersion(args)
			if err != nil {
				return err
			}
			client := a.client()
			state, err := client.ConfigStatus(cmd.Context(), version)
			if err != nil {
				return err
			}
			if state.Version == 0 {
				return a.print(state, func(w io.Writer) { fmt.Fprintln(w, describeState(state)) })
			}
			return a.waitAndPrint(cmd.Context(), client, state)
		},
	}
	c.Flags().DurationVar(&a.wait, "timeout", defaultWait, "time to wait; 0s only looks")
	return c
}

func parseVersion(args []string) (uint64, error) {
	if len(args) == 0 {
		return 0, nil
	}
	version, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return 0, &UsageError{Text: fmt.Sprintf("%q is no version number", args[0])}
	}
	return version, nil
}
