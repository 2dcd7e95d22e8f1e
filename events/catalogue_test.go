package events_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/events"
	_ "github.com/burdockspindle/burdockspindle/modules/standard"
)

const (
	repositoryRoot = ".."
	eventsPage     = "../docs/EVENTS.md"
)

// entry is an event as defined in the code or on the page.
type entry struct {
	Level string
	Text  string
}

// definedInSource parses every call of events.Define in the repository except in
// test files. It includes packages that the test does not link.
func definedInSource(t *testing.T) map[events.Number]entry {
	t.Helper()
	defined := map[events.Number]entry{}
	err := filepath.WalkDir(repositoryRoot, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != repositoryRoot && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		return readDefinitions(t, path, defined)
	})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return defined
}

func readDefinitions(t *testing.T, path string, defined map[events.Number]entry) error {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(node ast.Node) bool {
		call, isCall := node.(*ast.CallExpr)
		if !isCall || !isDefine(call) {
			return true
		}
		number, event, ok := literalArguments(call)
		if !ok {
			t.Errorf("%s: events.Define must have literal arguments", path)
			return true
		}
		if _, repeated := defined[number]; repeated {
			t.Errorf("%s: event %d is defined twice", path, number)
		}
		defined[number] = event
		return true
	})
	return nil
}

func isDefine(call *ast.CallExpr) bool {
	selector, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector || selector.Sel.Name != "Define" || len(call.Args) != 3 {
		return false
	}
	pkg, isName := selector.X.(*ast.Ident)
	return isName && pkg.Name == "events"
}

func literalArguments(call *ast.CallExpr) (events.Number, entry, bool) {
	number, isNumber := call.Args[0].(*ast.BasicLit)
	level, isLevel := call.Args[1].(*ast.SelectorExpr)
	text, isText := call.Args[2].(*ast.BasicLit)
	if !isNumber || !isLevel || !isText {
		return 0, entry{}, false
	}
	value, err := strconv.Atoi(number.Value)
	if err != nil {
		return 0, entry{}, false
	}
	unquoted, err := strconv.Unquote(text.Value)
	return events.Number(value), entry{Level: strings.ToLower(level.Sel.Name), Text: unquoted}, err == nil
}

var row = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (.*?) \| (.*?) \|$`)

// onPage parses the rows of docs/EVENTS.md.
func onPage(t *testing.T) map[events.Number]entry {
	t.Helper()
	g := gomega.NewWithT(t)
	text, err := os.ReadFile(eventsPage)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rows := map[events.Number]entry{}
	for _, match := range row.FindAllStringSubmatch(string(text), -1) {
		number, err := strconv.Atoi(match[1])
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(rows).NotTo(gomega.HaveKey(events.Number(number)), "row repeated")
		g.Expect(strings.TrimSpace(match[4])).NotTo(gomega.BeEmpty(), "meaning of event %d", number)
		rows[events.Number(number)] = entry{Level: match[2], Text: match[3]}
	}
	return rows
}

func TestEventsPageIsEqualToTheCode(t *testing.T) {
	defined, rows := definedInSource(t), onPage(t)
	for number, event := range defined {
		if rows[number] != event {
			t.Errorf("docs/EVENTS.md, event %d: page has %+v, code has %+v", number, rows[number], event)
		}
	}
	for number := range rows {
		if _, exists := defined[number]; !exists {
			t.Errorf("docs/EVENTS.md: event %d is not in the code", number)
		}
	}
}

func TestCatalogueIsWhatTheSourceDefines(t *testing.T) {
	defined := definedInSource(t)
	for number, event := range events.Catalogue() {
		linked := entry{Level: event.Level.String(), Text: event.Text}
		gomega.NewWithT(t).Expect(defined).To(gomega.HaveKeyWithValue(number, linked))
	}
}

func TestEventTextsAreInLowerCase(t *testing.T) {
	for number, event := range definedInSource(t) {
		first := event.Text[:1]
		if first != strings.ToLower(first) && !strings.HasPrefix(event.Text, "VM") {
			t.Errorf("event %d starts in upper case: %s", number, event.Text)
		}
	}
}
