// Package cli implements springweirctl, the command line for operators.
//
// Exit codes: 0 success (a change is in force everywhere); 1 failure; 2 usage
// error or rejected settings; 3 conflict with another edit; 4 committed but not
// yet in force everywhere; 5 no controller reachable.
package cli

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/operator"
)

// Exit codes of springweirctl.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitPending     = 4
	ExitUnreachable = 5
)

// Environment variables that set the defaults of flags.
const (
	envServers = "SPRINGWEIR_SERVERS"
	envAuthor  = "SPRINGWEIR_AUTHOR"
)

const (
	defaultServer = "127.0.0.1:8090"
	defaultWait   = 10 * time.Second
)

// App is one invocation of the command line. Its exported fields replace the
// terminal and the operator's editor in tests.
type App struct {
	In       io.Reader
	Out, Err io.Writer
	// Edit opens a file in the operator's editor and returns when it closes.
	Edit func(ctx context.Context, file string) error
	// NewID returns a new write ID.
	NewID func() string

	servers []string
	output  string
	author  string
	wait    time.Duration
	input   *bufio.Reader
}

// New returns an App that uses the terminal of the process.
func New() *App {
	return &App{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Edit: runEditor, NewID: rand.Text}
}

// UsageError is an invalid command line.
type UsageError struct{ Text string }

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

// Reason implements failure.Coded.
func (e *UsageError) Reason() failure.Reason { return failure.BadRequest }

// Run runs the command line and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	a.input = bufio.NewReader(a.In)
	root := a.Root()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	a.printError(err)
	return exitCodeOf(err)
}

var exitCodes = map[failure.Reason]int{
	failure.BadSettings:         ExitUsage,
	failure.BadRequest:          ExitUsage,
	failure.ConfigConflict:      ExitConflict,
	failure.ConfigPending:       ExitPending,
	failure.OperatorUnreachable: ExitUnreachable,
}

// exitCodeOf maps an error to its exit code. Only cobra returns errors without
// a reason, and those are usage errors.
func exitCodeOf(err error) int {
	var coded failure.Coded
	if !errors.As(err, &coded) {
		return ExitUsage
	}
	if code, found := exitCodes[coded.Reason()]; found {
		return code
	}
	return ExitFailed
}

// Root returns the root command with all subcommands.
func (a *App) Root() *cobra.Command {
	root := &cobra.Command{
		Use:   "springweirctl",
		Short: "Operate springweir: edit the settings tree, plan changes, see the fleet",
		Long: `springweirctl talks to the controller of any entry VM.

Exit codes: 0 done (a change: in force everywhere), 1 failed, 2 wrong usage or
settings refused, 3 conflict with another edit, 4 committed but not yet in force
everywhere, 5 no controller reached.`,
		Example:       "  springweirctl --server 10.1.0.1:8090,10.1.0.2:8090 status",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetIn(a.In)
	root.SetOut(a.Out)
	root.SetErr(a.Err)
	flags := root.PersistentFlags()
	flags.StringSliceVar(&a.servers, "server", defaultServers(), "controllers to ask, in turn ($"+envServers+")")
	flags.StringVarP(&a.output, "output", "o", outputText, "text or json")
	root.PersistentPreRunE = a.checkFlags
	root.AddCommand(a.configCommand(), a.statusCommand(), a.planCommand(), a.referenceCommand())
	for _, verb := range verbs {
		root.AddCommand(a.verbCommand(verb))
	}
	return root
}

func (a *App) checkFlags(*cobra.Command, []string) error {
	if a.output != outputText && a.output != outputJSON {
		return &UsageError{Text: fmt.Sprintf("--output %q: want text or json", a.output)}
	}
	if len(a.servers) == 0 {
		return &UsageError{Text: "--server: want at least one address"}
	}
	return nil
}

func defaultServers() []string {
	if list := os.Getenv(envServers); list != "" {
		return strings.Split(list, ",")
	}
	return []string{defaultServer}
}

// changeFlags adds the flags shared by every command that changes the tree.
func (a *App) changeFlags(c *cobra.Command) {
	author := os.Getenv(envAuthor)
	if author == "" {
		author = os.Getenv("USER")
	}
	c.Flags().StringVar(&a.author, "author", author, "name kept in the history ($"+envAuthor+")")
	c.Flags().DurationVar(&a.wait, "wait", defaultWait, "time to wait until the change is in force everywhere; 0s does not wait")
}

func (a *App) client() *operator.Client {
	return operator.NewClient(a.servers, &http.Client{})
}

// prompt prints a question and returns the first letter of the operator's input
// in lower case, or defaultAnswer for an empty line. If the input
// has ended, it returns "n".
func (a *App) prompt(question, defaultAnswer string) string {
	fmt.Fprintf(a.Err, "%s ", question)
	answer, err := a.input.ReadString('\n')
	answer = strings.ToLower(strings.TrimSpace(answer))
	switch {
	case answer != "":
		return answer[:1]
	case err != nil:
		// Without input, never assume consent.
		return "n"
	}
	return defaultAnswer
}
