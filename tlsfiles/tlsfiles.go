// Package tlsfiles keeps the TLS configuration of a listener or dialer in step
// with its PEM files: they are read again when they change, and the last good
// ones stay in use when the new ones cannot be read.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/settings"
)

// checkEvery is how often the files are looked at, at most.
const checkEvery = time.Second

// Loader holds the current certificate and authorities of one set of files. It
// is safe for concurrent use and needs no goroutine: the files are looked at
// when a connection is made.
type Loader struct {
	files  settings.TLS
	logger hclog.Logger
	now    func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	current material
	// generation counts the times that changed files were taken into use.
	generation uint64
}

// material is what the files hold.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool // nil without a CA file
}

// stamp tells whether a file has changed.
type stamp struct {
	modified time.Time
	size     int64
}

// New reads the files. The error is a *ReadError.
func New(files settings.TLS, logger hclog.Logger) (*Loader, error) {
	return newAt(files, logger, time.Now)
}

func newAt(files settings.TLS, logger hclog.Logger, now func() time.Time) (*Loader, error) {
	l := &Loader{files: files, logger: logger, now: now}
	l.checked = now()
	l.stamps = l.look()
	current, err := read(files)
	if err != nil {
		return nil, err
	}
	l.current = current
	return l, nil
}

// Server returns a listener's configuration. Each handshake uses the current
// files. With a CA file, clients must show a certificate that it signed.
func (l *Loader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return l.serverNow(), nil
		},
	}
}

func (l *Loader) serverNow() *tls.Config {
	now := l.refreshed()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{now.certificate},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if now.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = now.authorities
	}
	return config
}

// Client returns the configuration for one new connection to a server that
// must show a certificate for serverName. It is asked for anew for each
// connection.
func (l *Loader) Client(serverName string) *tls.Config {
	now := l.refreshed()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		ServerName:   serverName,
		Certificates: []tls.Certificate{now.certificate},
		RootCAs:      now.authorities,
	}
}

// refreshed returns the current material, after a look at the files if the last
// one is long enough ago.
func (l *Loader) refreshed() material {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.checked) < checkEvery {
		return l.current
	}
	l.checked = now
	stamps := l.look()
	if stamps == l.stamps {
		return l.current
	}
	fresh, err := read(l.files)
	if err != nil {
		eventNotRead.Log(l.logger, "error", err)
		return l.current // the stamps stay old, so the next look tries again
	}
	l.stamps = stamps
	l.current = fresh
	l.generation++
	eventRead.Log(l.logger, "certificate", l.files.CertFile)
	return l.current
}

// look returns the files' stamps; a missing file has the zero stamp.
func (l *Loader) look() [3]stamp {
	var stamps [3]stamp
	for i, path := range []string{l.files.CertFile, l.files.KeyFile, l.files.CAFile} {
		if path == "" {
			continue
		}
		if info, err := os.Stat(path); err == nil {
			stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}

func read(files settings.TLS) (material, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return material{}, &ReadError{File: files.CertFile, Cause: err}
	}
	if files.CAFile == "" {
		return material{certificate: certificate}, nil
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return material{}, &ReadError{File: files.CAFile, Cause: err}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return material{}, &ReadError{File: files.CAFile, Cause: &NoCertificateError{}}
	}
	return material{certificate: certificate, authorities: authorities}, nil
}
