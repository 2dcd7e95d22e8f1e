package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/burdockspindle/burdockspindle/jsonc"
)

// Load reads a settings file and the files that it refers to: the administration
// token and the TLS files. Relative paths are resolved against the directory of
// the settings file. The error is an *InvalidError with all problems, or a
// *FileError.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	root, report := jsonc.Parse(text, file)
	s := readSettings(root)
	resolvePaths(s, filepath.Dir(file))
	loadToken(root, s)
	checkTLS(root.Get("frontend").Object(), s.Frontend.TLS)
	checkTLS(root.Get("peer").Object(), s.Peer.TLS)
	checkTLS(root.Get("admin").Object(), s.Admin.TLS)
	if err := report.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// FileError reports a settings file that cannot be read.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.File + ": cannot be read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

func resolvePaths(s *Settings, dir string) {
	paths := []*string{&s.Admin.TokenFile}
	for _, files := range []*TLS{s.Frontend.TLS, s.Peer.TLS, s.Admin.TLS} {
		if files != nil {
			paths = append(paths, &files.CertFile, &files.KeyFile, &files.CAFile)
		}
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
}

// loadToken reads Admin.TokenFile into Admin.Token. The token is the
// content of the file without surrounding white space.
func loadToken(root *jsonc.Object, s *Settings) {
	if s.Admin.TokenFile == "" {
		return
	}
	field := root.Get("admin").Object().Get("tokenFile")
	text, err := os.ReadFile(s.Admin.TokenFile)
	if err != nil {
		field.Problem("cannot be read: " + err.Error())
		return
	}
	s.Admin.Token = strings.TrimSpace(string(text))
	if len(s.Admin.Token) < minTokenLength {
		field.Problem("the token in the file must have at least " + strconv.Itoa(minTokenLength) + " characters")
	}
}

// checkTLS reports TLS files that cannot be read, and a certificate that does not
// match its key.
func checkTLS(listener *jsonc.Object, files *TLS) {
	if files == nil {
		return
	}
	o := listener.Get("tls").Object()
	if files.CertFile != "" && files.KeyFile != "" {
		if _, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile); err != nil {
			o.Get("certFile").Problem("cannot load the certificate and its key: " + err.Error())
		}
	}
	if files.CAFile == "" {
		return
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		o.Get("caFile").Problem("cannot be read: " + err.Error())
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(pem) {
		o.Get("caFile").Problem("holds no PEM certificate")
	}
}
