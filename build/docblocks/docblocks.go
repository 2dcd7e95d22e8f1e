// Package docblocks parses the fenced code blocks of the project's pages, so that
// tests can run their commands and check their examples. The first line of a block
// contains its kind and a tag:
//
//	sh ci            commands that .ci/run runs verbatim
//	sh site          commands that the multi-process test runs
//	jsonc settings   an example of a settings file
//	jsonc site       an example of a site configuration
//
// Blocks of another kind (text, json, go, mermaid) are not commands.
package docblocks

import (
	"bufio"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

const fence = "```"

// Block is one fenced block.
type Block struct {
	File string
	Line int    // line number of the opening fence, from 1
	Kind string // "sh", "jsonc", ...
	Tag  string // may be empty
	Text string
}

// Commands returns the lines of the block without blank lines and comments. A line
// that ends in a backslash is joined with the next line.
func (b Block) Commands() []string {
	var commands []string
	joined := strings.ReplaceAll(b.Text, "\\\n", " ")
	for _, line := range strings.Split(joined, "\n") {
		line = strings.Join(strings.Fields(line), " ")
		if line != "" && !strings.HasPrefix(line, "#") {
			commands = append(commands, line)
		}
	}
	return commands
}

// Pages returns the Markdown files of a repository, README.md first.
func Pages(root string) ([]string, error) {
	pages := []string{filepath.Join(root, "README.md")}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".md") && path != pages[0] {
			pages = append(pages, path)
		}
		return nil
	})
	return pages, err
}

// Read returns the fenced blocks of a page in order.
func Read(page string) ([]Block, error) {
	file, err := os.Open(page)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var blocks []Block
	var open *Block
	scanner := bufio.NewScanner(file)
	for line := 1; scanner.Scan(); line++ {
		text := scanner.Text()
		info, isFence := strings.CutPrefix(strings.TrimSpace(text), fence)
		switch {
		case isFence && open == nil:
			kind, tag, _ := strings.Cut(strings.TrimSpace(info), " ")
			open = &Block{File: page, Line: line, Kind: kind, Tag: tag}
		case isFence:
			blocks = append(blocks, *open)
			open = nil
		case open != nil:
			open.Text += text + "\n"
		}
	}
	return blocks, scanner.Err()
}

// ReadAll returns the blocks of every page of a repository.
func ReadAll(root string) ([]Block, error) {
	pages, err := Pages(root)
	if err != nil {
		return nil, err
	}
	var all []Block
	for _, page := range pages {
		blocks, err := Read(page)
		if err != nil {
			return nil, err
		}
		all = append(all, blocks...)
	}
	return all, nil
}
