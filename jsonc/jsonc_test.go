package jsonc_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/jsonc"
)

// readAll reads one field of each type.
func readAll(root *jsonc.Object) {
	root.Required("text").Text()
	root.Get("choice").Choice("a", "a", "b")
	root.Get("flag").Bool(false)
	root.Get("count").Int(1, 1, 10)
	root.Get("ratio").Float(0.5, 0, 1)
	root.Get("wait").Duration(time.Second, time.Millisecond, time.Minute)
	for _, element := range root.Get("list").Elements() {
		element.Text()
	}
	inner := root.Get("inner").Object()
	inner.Required("a").Text()
	inner.Close()
	root.Get("any").Any()
	root.Close()
}

func TestProblemsHaveLineAndField(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"valid", "{\"text\": \"x\",} // comment", nil},
		{"missing", "\n{\n}", []string{"f:2: text: missing"}},
		{"empty text", "{\"text\":\n\"\"}", []string{"f:1: text: must not be empty"}},
		{"null is not a string", `{"text": null}`, []string{"f:1: text: must be a string, not null"}},
		{"not an object", `[1]`, []string{"f:1: must be an object, not an array"}},
		{"unknown field", "{\"text\": \"x\",\n \"texd\": 1}", []string{"f:2: texd: unknown field; known here: any, choice"}},
		{"repeated field", "{\"text\": \"x\",\n\n\"text\": \"y\"}", []string{"f:3: text: given twice, first on line 1"}},
		{"wrong types, all at once", "{\"text\": 1,\n\"flag\": \"yes\",\n\"count\": \"3\",\n\"ratio\": [],\n\"wait\": 5,\n\"list\": {},\n\"inner\": true,\n\"choice\": 4}", []string{
			"f:1: text: must be a string, not a number",
			"f:2: flag: must be true or false, not a string",
			"f:3: count: must be a whole number, not a string",
			"f:4: ratio: must be a number, not an array",
			`f:5: wait: must be a duration such as "250ms", not a number`,
			"f:6: list: must be an array, not an object",
			"f:7: inner: must be an object, not true or false",
			"f:8: choice: must be a string, not a number",
		}},
		{"out of range", "{\"text\": \"x\", \"count\": 11,\n\"ratio\": 1.5,\n\"wait\": \"2h\",\n\"choice\": \"c\"}", []string{
			"f:1: count: must be between 1 and 10, not 11",
			"f:2: ratio: must be between 0 and 1, not 1.5",
			"f:3: wait: must be between 1ms and 1m0s, not 2h0m0s",
			`f:4: choice: must be one of a, b, not "c"`,
		}},
		{"fraction and overflow", "{\"text\": \"x\", \"count\": 1.5,\n\"ratio\": 1e999}", []string{
			"f:1: count: must be a whole number, not 1.5",
			"f:2: ratio: must be between 0 and 1, not 1e999",
		}},
		{"element of an array", "{\"text\": \"x\", \"list\": [\"a\",\n3,\n\"\"]}", []string{
			"f:2: list[1]: must be a string, not a number",
			"f:3: list[2]: must not be empty",
		}},
		{"field of an inner object", "{\"text\": \"x\",\n\"inner\":\n{\"b\": 1}}", []string{
			"f:2: inner.a: missing",
			"f:3: inner.b: unknown field; known here: a",
		}},
		{"repeated field in a nested object", "{\"text\": \"x\",\n\"any\": {\"o\": [{\"p\": 1,\n\"p\": 2}]}}", []string{
			"f:3: any.o[0].p: given twice, first on line 2",
		}},
		{"unterminated comment", "{\n/* }", []string{"f:"}},
		{"syntax", "{\n\"text\" \"x\"}", []string{"f:2: not valid JSON with comments: invalid character '\"' after object name"}},
		{"truncated", "{\n\"text\": ", []string{"f:2: not valid JSON with comments: "}},
		{"empty", "", []string{"f:1: not valid JSON with comments: "}},
		{"two values", "{}\n{}", []string{"f:2: not valid JSON with comments: "}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			root, report := jsonc.Parse([]byte(c.text), "f")
			readAll(root)
			problems := report.Problems()
			g.Expect(problems).To(gomega.HaveLen(len(c.want)), "%v", problems)
			for i := range c.want {
				g.Expect(problems[i].Error()).To(gomega.HavePrefix(c.want[i]))
			}
		})
	}
}

func TestOversizedTextsAreRejectedBeforeParsing(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, open := range []string{"[", `{"a":`} {
		deep := strings.Repeat(open, 100_000)
		_, report := jsonc.Parse([]byte("\n"+deep), "f")
		g.Expect(report.Err()).To(gomega.MatchError("f:2: nested deeper than 32 levels"))
	}
	_, report := jsonc.Parse(make([]byte, jsonc.MaxTextBytes+1), "f")
	g.Expect(report.Err()).To(gomega.MatchError("f: longer than 1048576 bytes"))
	brackets := strings.Repeat("[{", jsonc.MaxDepth)
	_, report = jsonc.Parse([]byte(`{"a\"[": "`+brackets+`" /*`+brackets+"*/ } // "+brackets), "f")
	g.Expect(report.Err()).NotTo(gomega.HaveOccurred())
}

func TestErrorContainsEachProblem(t *testing.T) {
	g := gomega.NewWithT(t)
	root, report := jsonc.Parse([]byte("{\"b\": 1,\n\"a\": 2}"), "f")
	root.Close()
	err := report.Err()
	var problem *jsonc.Problem
	g.Expect(errors.As(err, &problem)).To(gomega.BeTrue())
	g.Expect(problem.Field).To(gomega.Equal("b"))
	g.Expect(strings.Split(err.Error(), "\n")).To(gomega.HaveLen(2))
}

func TestValuesAreDecoded(t *testing.T) {
	g := gomega.NewWithT(t)
	root, report := jsonc.Parse([]byte(`{"n": -3, "f": 2.5, "d": "1m", "s": "a\u00e9", "o": {"x": [1, true, null]}}`), "f")
	g.Expect(root.Get("n").Int(0, -5, 5)).To(gomega.Equal(int64(-3)))
	g.Expect(root.Get("f").Float(0, 0, 5)).To(gomega.Equal(2.5))
	g.Expect(root.Get("d").Duration(0, 0, time.Hour)).To(gomega.Equal(time.Minute))
	g.Expect(root.Get("s").String("")).To(gomega.Equal("aé"))
	g.Expect(root.Get("o").Any()).To(gomega.Equal(map[string]any{"x": []any{1.0, true, nil}}))
	g.Expect(root.Get("none").Int(7, 0, 9)).To(gomega.Equal(int64(7)))
	root.Close()
	g.Expect(report.Err()).NotTo(gomega.HaveOccurred())
}
