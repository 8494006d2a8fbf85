package main

import (
	_ "embed" // the names and forms of the platform lie in files of their own
	"encoding/json"
)

var (
	//go:embed wire.json
	wireNames []byte
	// settingsForm holds the settings of a machine, with the bounds of the sheets whose deployments take keys away, and
	// words in capitals to be replaced.
	//go:embed settings.toml
	settingsForm string
)

// wire holds the platform's names of headers and fields.
var wire = readWire()

type names struct {
	Model, Tokens, Prefix, Deadline, PathPrefix, Objective, Pause, Settings string
}

// readWire panics on errors, which cannot occur: the file is part of the program.
func readWire() names {
	var n names
	if err := json.Unmarshal(wireNames, &n); err != nil {
		panic(err)
	}
	return n
}
