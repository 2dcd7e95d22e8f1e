package serverapi

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"
)

func TestEncodedValuesReadBackTheSame(t *testing.T) {
	g := gomega.NewWithT(t)
	for value, text := range map[string]string{
		"":                "",
		"bore 7":          "bore%207",
		"100%":            "100%25",
		"licensing/4/a/b": "licensing/4/a/b",
		"schlüssel\r\n":   "schl%C3%BCssel%0D%0A",
	} {
		g.Expect(EncodeValue(value)).To(gomega.Equal(text))
		back, err := DecodeValue(text)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(back).To(gomega.Equal(value))
	}
	var refused *ValueError
	_, err := DecodeValue("%z")
	g.Expect(errors.As(err, &refused)).To(gomega.BeTrue())
}

func FuzzEncodeValue(f *testing.F) {
	f.Add("bore 7")
	f.Add("\x00\xff%\r\n")
	f.Add("licensing/4/schlüssel")
	f.Fuzz(func(t *testing.T, value string) {
		text := EncodeValue(value)
		for _, char := range []byte(text) {
			if char <= ' ' || char >= 0x7f {
				t.Fatalf("%q is written as %q", value, text)
			}
		}
		back, err := DecodeValue(text)
		if err != nil || back != value {
			t.Fatalf("%q → %q → %q, %v", value, text, back, err)
		}
	})
}

func TestDigestDistinguishesLists(t *testing.T) {
	g := gomega.NewWithT(t)
	lists := [][]Grant{
		nil,
		{{Shard: "s/1", Fence: "5.0"}},
		{{Shard: "s/1", Fence: "5.1"}},
		{{Shard: "s/1", Fence: "5.0", Except: []string{"a"}}},
		{{Shard: "s/1", Fence: "5.0", Except: []string{"a", "b"}}},
		{{Shard: "s/1", Fence: "5.0"}, {Shard: "s/1/a", Fence: "5.0"}},
	}
	seen := map[string]int{}
	for i, list := range lists {
		digest := GrantsDigest(list)
		g.Expect(seen).NotTo(gomega.HaveKey(digest), "list %d", i)
		seen[digest] = i
	}
	g.Expect(GrantsDigest([]Grant{{Shard: "s/1", Except: []string{"b", "a"}}})).
		To(gomega.Equal(GrantsDigest([]Grant{{Shard: "s/1", Except: []string{"a", "b"}}})))
}
