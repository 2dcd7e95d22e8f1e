package ticket

import (
	"errors"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/topo"
)

func sample() Ticket {
	return Ticket{
		Scope:    FenceScope(topo.MakeFence(41, 1)),
		Issuer:   Issuer{Node: "entry-a-1", Boot: "0f3c", StartMillis: 1_700_000_000_000},
		Sequence: 7,
		Subject:  SubjectOf("licensing", "bore/7"),
		Random:   0xfeed,
	}
}

func TestTicketRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ordinal := topo.Ordinal{Offset: topo.Offset(rapid.Uint64().Draw(t, "offset")), Rank: rapid.Uint32().Draw(t, "rank")}
		ticket := Ticket{
			Scope: Scope{Kind: rapid.SampledFrom([]ScopeKind{ScopeFence, ScopeTerm}).Draw(t, "kind"), Ordinal: ordinal},
			Issuer: Issuer{
				Node:        topo.NodeID(rapid.StringMatching(`[a-z0-9.@/-]{1,20}`).Draw(t, "node")),
				Boot:        topo.BootID(rapid.StringMatching(`[a-f0-9]{1,16}`).Draw(t, "boot")),
				StartMillis: rapid.Int64Min(0).Draw(t, "born"),
			},
			Sequence: rapid.Uint64Min(1).Draw(t, "sequence"),
			Subject:  rapid.Uint64().Draw(t, "subject"),
			Random:   rapid.Uint64().Draw(t, "random"),
		}
		for _, text := range []string{ticket.String(), `"` + ticket.String() + `"`} {
			read, err := Parse(text)
			if err != nil || read != ticket {
				t.Fatalf("%q read as %+v, %v", text, read, err)
			}
		}
	})
}

func TestParseRefuses(t *testing.T) {
	good := sample().String()
	cases := map[string]string{
		"empty":             "",
		"foreign":           "8e03978e-40d5-43e8-bc93-6894a57f9324",
		"other format":      strings.Replace(good, "bs1", "bs2", 1),
		"leading zero":      strings.Replace(good, "-7-", "-07-", 1),
		"upper-case hex":    strings.Replace(good, "-feed-", "-FEED-", 1),
		"sequence 0":        strings.Replace(good, "-7-", "-0-", 1),
		"scope kind":        strings.Replace(good, "f41", "x41", 1),
		"no scope":          strings.Replace(good, "f41.1", "", 1),
		"space in issuer":   good + " x",
		"control character": good + "\x01",
		"no issuer":         strings.TrimSuffix(good, "entry-a-1"),
		"too long":          good + strings.Repeat("x", MaxLength),
		"half quoted":       `"` + good,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			var refused *ParseError
			_, err := Parse(text)
			gomega.NewWithT(t).Expect(errors.As(err, &refused)).To(gomega.BeTrue(), "%q: %v", text, err)
		})
	}
}

func TestSourceNumbersTicketsAndRejectsInvalidNames(t *testing.T) {
	g := gomega.NewWithT(t)
	random := func() uint64 { return 9 }
	source, err := NewSource(Issuer{Node: "n-1", Boot: "b", StartMillis: 1}, random)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	scope := TermScope(topo.MakeTerm(3, 0))
	first, second := source.Issue(scope, "svc", "k"), source.Issue(scope, "svc", "k")
	g.Expect(first.Sequence).To(gomega.Equal(uint64(1)))
	g.Expect(second.Sequence).To(gomega.Equal(uint64(2)))
	g.Expect(first.Subject).To(gomega.Equal(SubjectOf("svc", "k")))

	for _, issuer := range []Issuer{{Node: "n", Boot: "a-b"}, {Node: "n"}, {Node: "n n", Boot: "b"}, {Node: "n", Boot: "b", StartMillis: -1}} {
		_, err := NewSource(issuer, random)
		var refused *IssuerError
		g.Expect(errors.As(err, &refused)).To(gomega.BeTrue(), "%+v", issuer)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(sample().String())
	f.Add(`"` + sample().String() + `"`)
	f.Add("bs1-t0.0-1-0-0-0-b-n-with-hyphens")
	f.Add("bs1-f18446744073709551616.0-1-0-0-0-b-n")
	f.Add("bs1-f-1.0-1-0-0-0-b-n")
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(ticket.String())
		if err != nil || again != ticket {
			t.Fatalf("%q → %+v → %+v, %v", text, ticket, again, err)
		}
		if ticket.String() != unquote(text) {
			t.Fatalf("%q has a second spelling %q", text, ticket.String())
		}
	})
}
