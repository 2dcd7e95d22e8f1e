package answertest

import "strings"

// Sizes beyond what decoders bear.
const (
	oddDepth  = 100_000
	oddDigits = 10_000
)

// NestedLists returns lists within each other, as JSON.
func NestedLists(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// ManyDigits returns an integer that no number type holds, as JSON.
func ManyDigits() string { return strings.Repeat("9", oddDigits) }

// TooDeep returns a value that is nested too deeply, as JSON.
func TooDeep() string { return NestedLists(oddDepth) }

// OddValues returns texts in the place of JSON values that a decoder must survive: nested deeply, too large, or of
// bytes that are no text.
func OddValues() []string {
	return []string{
		NestedLists(oddDepth / 10), TooDeep(), strings.Repeat("[", oddDepth), strings.Repeat(`{"a":`, oddDepth),
		"1e400", "-1e400", ManyDigits(), "\"\xff\x00\"", `"\ud800"`,
	}
}
