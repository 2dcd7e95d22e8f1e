package ticket

import (
	"testing"
)

func BenchmarkParse(b *testing.B) {
	text := sample().String()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRecord adds new tickets to a full record, so that each one drops an
// older one.
func BenchmarkRecord(b *testing.B) {
	r := NewRecord(DefaultLimits())
	ticket := sample()
	ticket.Sequence = 0
	answer := answerOf("an answer of a few words")
	next := func() {
		ticket.Sequence++
		if verdict, _ := r.Begin(requestOf(ticket), ticket.Scope, noon); verdict != Run {
			b.Fatal(verdict)
		}
		r.Finish(ticket, answer, noon)
	}
	for range DefaultLimits().Tickets {
		next()
	}
	b.ReportAllocs()
	for b.Loop() {
		next()
	}
}
