package table

import "strconv"

// Version counts the writes of one row, or those of a whole table where a table is followed.
// Absent is the version of a row that does not exist. A version never comes back within an epoch,
// even when a row is deleted and made anew.
//
// A store that comes back from a copy begins a new epoch, in which it gives out numbers again. So a
// Version is a pair: two of different epochs are never equal, and of two the one of the later
// epoch is the later, whatever their numbers. A store that never does so has epoch zero only, and
// its versions are plain numbers.
type Version uint64

const (
	// numberBits are the low bits of a Version, which hold its number; the rest is the epoch.
	numberBits = 48
	numberMask = 1<<numberBits - 1
	// maxEpoch is the highest epoch that a Version can hold.
	maxEpoch = 1<<(64-numberBits) - 1
)

// Absent is the version of a row that does not exist.
const Absent Version = 0

// NewVersion returns the version of a number in an epoch. The error is *InvalidError for one that is too
// high to be held.
func NewVersion(epoch, number uint64) (Version, error) {
	if epoch > maxEpoch || number > numberMask {
		return Absent, &InvalidError{Problem: "version " + strconv.FormatUint(number, 10) + " of epoch " + strconv.FormatUint(epoch, 10) + " is out of range"}
	}
	return Version(epoch<<numberBits | number), nil
}

// Epoch counts how often the store had come back from a copy when it gave out the version.
func (v Version) Epoch() uint64 { return uint64(v) >> numberBits }

// Number is the version as the store gave it out.
func (v Version) Number() uint64 { return uint64(v) & numberMask }

// String returns the number, after the epoch and a colon if there is one.
func (v Version) String() string {
	number := strconv.FormatUint(v.Number(), 10)
	if v.Epoch() == 0 {
		return number
	}
	return strconv.FormatUint(v.Epoch(), 10) + ":" + number
}
