package table

import "strconv"

// Version counts the writes of one row, or those of a whole table where a table is followed.
// Within an epoch a version is never reused, even when a row is deleted and created again.
//
// A store that is restored from a backup begins a new epoch, in which it reuses numbers. A
// Version is therefore a pair: versions of different epochs are never equal, and the one of the
// later epoch is greater, whatever the numbers. A store that was never restored has only epoch
// zero, and its versions are plain numbers.
type Version uint64

const (
	// numberBits is the number of low bits of a Version that hold its number; the others hold the
	// epoch.
	numberBits = 48
	numberMask = 1<<numberBits - 1
	// maxEpoch is the highest epoch that a Version can hold.
	maxEpoch = 1<<(64-numberBits) - 1
)

// Absent is the version of a row that doesn't exist.
const Absent Version = 0

// NewVersion returns the version with a number in an epoch. The error is *InvalidError if either
// is too large.
func NewVersion(epoch, number uint64) (Version, error) {
	if epoch > maxEpoch || number > numberMask {
		return Absent, &InvalidError{Problem: "version " + strconv.FormatUint(number, 10) + " of epoch " + strconv.FormatUint(epoch, 10) + " is out of range"}
	}
	return Version(epoch<<numberBits | number), nil
}

// Epoch returns how often the store had been restored from a backup when it assigned the version.
func (v Version) Epoch() uint64 { return uint64(v) >> numberBits }

// Number returns the version's number within its epoch, as the store assigned it.
func (v Version) Number() uint64 { return uint64(v) & numberMask }

// String returns the number, preceded by the epoch and a colon if the epoch is not zero.
func (v Version) String() string {
	number := strconv.FormatUint(v.Number(), 10)
	if v.Epoch() == 0 {
		return number
	}
	return strconv.FormatUint(v.Epoch(), 10) + ":" + number
}
