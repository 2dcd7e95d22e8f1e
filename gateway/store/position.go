package store

import "fmt"

// Era numbers the histories of the store. It rises each time the store has come back from a copy: records that
// it had acknowledged may then be gone, and their places in the topics are given out again.
type Era int64

// Bits of an offset. Servers and JSON keep offsets as fences of up to fenceBits.
const (
	placeBits = 40
	fenceBits = 53
)

// MaxEra is the highest era that an offset has room for.
const MaxEra Era = 1<<(fenceBits-placeBits) - 1

// At returns the offset of a place in a topic, counted from 0 without gaps within an era.
func At(era Era, place int64) Offset { return Offset(int64(era)<<placeBits | place) }

// Era returns the era of the record at an offset.
func (o Offset) Era() Era { return Era(o >> placeBits) }

// Place returns the place of an offset in its topic.
func (o Offset) Place() int64 { return int64(o) & (1<<placeBits - 1) }

// EraError reports a call under an offset of an era that has ended. An append may have taken effect at the same
// place in the new era.
type EraError struct {
	Topic Topic
	Ended Era
	// End is the end of the topic in the new era, as of the response.
	End Offset
}

// Error implements error.
func (e *EraError) Error() string {
	return fmt.Sprintf("topic %s: the store has come back from a copy, era %d after %d", e.Topic, e.End.Era(), e.Ended)
}
