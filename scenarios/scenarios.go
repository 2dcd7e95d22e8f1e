// Package scenarios embeds the scenarios of the experiment tool. Package
// experiment reads them; docs/BALANCE.md describes the effect of each.
package scenarios

import (
	"embed"
	"io/fs"
	"path"
	"slices"
	"strings"
)

//go:embed *.jsonc
var files embed.FS

// Extension is the file name extension of scenario files.
const Extension = ".jsonc"

// Names lists the names of the embedded scenarios in alphabetical order.
func Names() []string {
	matches, _ := fs.Glob(files, "*"+Extension) // the pattern is constant and valid
	for i, name := range matches {
		matches[i] = strings.TrimSuffix(path.Base(name), Extension)
	}
	slices.Sort(matches)
	return matches
}

// Text returns the text of an embedded scenario; false if there is none with that
// name.
func Text(name string) ([]byte, bool) {
	text, err := files.ReadFile(name + Extension)
	return text, err == nil
}
