package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/operator"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// print writes a result, either as text by calling text or as JSON from value.
func (a *App) print(value any, text func(w io.Writer)) error {
	if a.output == outputText {
		table := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
		text(table)
		return eris.Wrap(table.Flush(), "write output")
	}
	return writeJSON(a.Out, value)
}

// printRaw writes text unchanged, or value as JSON.
func (a *App) printRaw(value any, text string) error {
	if a.output == outputText {
		_, err := io.WriteString(a.Out, text)
		return eris.Wrap(err, "write output")
	}
	return writeJSON(a.Out, value)
}

// writeJSON writes indented JSON. Protobuf messages use the field names of the
// .proto files and include unset fields; 64-bit integers are strings, as in
// protojson.
func writeJSON(w io.Writer, value any) error {
	raw, err := marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode output")
	}
	var out bytes.Buffer
	if err := json.Indent(&out, raw, "", "  "); err != nil {
		return eris.Wrap(err, "encode output")
	}
	out.WriteByte('\n')
	_, err = out.WriteTo(w)
	return eris.Wrap(err, "write output")
}

func marshal(value any) ([]byte, error) {
	message, isMessage := value.(proto.Message)
	if !isMessage {
		return json.Marshal(value)
	}
	raw, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return nil, err
	}
	// protojson varies its whitespace deliberately.
	var compact bytes.Buffer
	err = json.Compact(&compact, raw)
	return compact.Bytes(), err
}

// errorReport is the JSON output of an error.
type errorReport struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Reason    failure.Reason      `json:"reason"`
	Message   string              `json:"message"`
	Problems  []settings.Problem  `json:"problems,omitempty"`
	Conflicts []settings.Conflict `json:"conflicts,omitempty"`
}

func (a *App) printError(err error) {
	if a.output != outputJSON {
		fmt.Fprintf(a.Err, "springweirctl: %v\n", err)
		return
	}
	report := errorReport{errorBody{Reason: failure.ReasonOf(err), Message: err.Error()}}
	if exitCodeOf(err) == ExitUsage && report.Error.Reason == failure.Internal {
		report.Error.Reason = failure.BadRequest
	}
	var invalid *settings.InvalidError
	var remote *operator.RemoteError
	var conflict *settings.ConflictError
	switch {
	case errors.As(err, &invalid):
		report.Error.Problems = invalid.Problems
	case errors.As(err, &remote):
		report.Error.Problems = remote.Problems
	case errors.As(err, &conflict):
		report.Error.Conflicts = conflict.Conflicts
	}
	if writeJSON(a.Err, report) != nil {
		fmt.Fprintf(a.Err, "springweirctl: %v\n", err)
	}
}

// describeState describes in one line how far a version has been rolled out.
func describeState(s *pb.ConfigState) string {
	switch {
	case s.GetVersion() == 0:
		return "no configuration yet"
	case s.Accepted:
		return fmt.Sprintf("version %d is in force everywhere", s.Version)
	}
	return fmt.Sprintf("version %d is committed but pending%s", s.Version, operator.DescribePending(s))
}
