// Package revision numbers the states of a store that can come back from an older copy. The store then gives
// versions out a second time, so that a version alone does not tell which of two states is newer. It states
// an era with each response, which rises whenever that happens.
//
// A revision is an era and a version in one integer. Revisions compare as integers, the era first. Those of
// the first era equal their versions, so that instances of releases that know no eras read them as such.
package revision

// versionBits is the number of bits of the version in a revision: at 100,000 writes per second they last for
// five years.
const versionBits = 44

// firstEra is the era of a store that has never come back from a copy, or states none.
const firstEra = 1

// Of returns the revision of a version in an era. Eras count from 1; 0 is an era that is not stated.
func Of(era, version int64) int64 {
	return max(era-firstEra, 0)<<versionBits | version
}

// Era returns the era of a revision.
func Era(revision int64) int64 { return revision>>versionBits + firstEra }

// Version returns the version of a revision within its era.
func Version(revision int64) int64 { return revision & (1<<versionBits - 1) }
