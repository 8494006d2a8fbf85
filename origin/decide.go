package origin

import (
	"slices"
	"time"
)

// Answer is what a VM knows about a stream and the service that may have begun it.
type Answer struct {
	// VM is the name of the VM that was asked.
	VM string
	// Software is a hash of the software that began the stream, recorded a time Age ago; zero if the VM
	// has no record of it.
	Software uint32
	Age      time.Duration
	// Versions are the hashes of the service's software versions that may have begun a stream.
	Versions []uint32
	// Covered is set if there can have been no other version, and Current if the VM receives the changes of the
	// endpoints.
	Covered, Current bool
}

// inference is the outcome of infer.
type inference string

// The values of inference. All but inferred are reasons why the software cannot be inferred.
const (
	inferred      inference = "inferred"
	notOneVersion inference = "not-one-version"
	notCovered    inference = "history-too-short"
	notCurrent    inference = "view-not-current"
)

// infer returns the software of a stream that nobody has a record of: the only version that the service has ever had.
// Once there was a second one, the record may be lost with the VMs that had it, or have expired. It is the only one if
// nobody knows of another, somebody knows that there can have been none, and somebody receives the changes of the
// endpoints. If nobody does, the platform's store has
// failed for all VMs, provided that all that were asked have answered and that they are most VMs together with this one;
// otherwise these may be cut off. So may be one that none of several other VMs answers.
func infer(own view, answers []Answer, asked, others int) (software uint32, outcome inference) {
	versions, covered, current := slices.Clone(own.versions), own.covered, own.current
	for _, a := range answers {
		versions = append(versions, a.Versions...)
		covered = covered || a.Covered
		current = current || a.Current
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	maybeCutOff := len(answers) == 0 && others >= minCutOff
	allAnswered := len(answers) == asked && 2*(len(answers)+1) > others+1
	switch {
	case len(versions) != 1:
		return 0, notOneVersion
	case !covered:
		return 0, notCovered
	case maybeCutOff, !current && !allAnswered:
		return 0, notCurrent
	}
	return versions[0], inferred
}

// minCutOff is the number of other VMs of which none answers for this VM to be taken to be cut off. A single
// one may have stopped.
const minCutOff = 2
