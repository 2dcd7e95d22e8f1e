// Package tlsfiles keeps the TLS configuration of a listener or dialer in sync
// with its PEM files. It reloads the files when they change, and keeps the last
// valid configuration if the new files cannot be loaded.
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

// checkInterval is the minimum interval between checks of the files.
const checkInterval = time.Second

// Loader holds the current certificate and authorities of one set of files. It is
// safe for concurrent use. It needs no goroutine because it checks the files when
// a connection is made.
type Loader struct {
	files  settings.TLS
	logger hclog.Logger
	now    func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	current material
	// generation is the number of reloads of changed files.
	generation uint64
}

// material is the content of the files.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool // nil without a CA file
}

// stamp identifies a version of a file, to detect changes.
type stamp struct {
	modified time.Time
	size     int64
}

// New loads the files. The error is a *ReadError.
func New(files settings.TLS, logger hclog.Logger) (*Loader, error) {
	return newAt(files, logger, time.Now)
}

func newAt(files settings.TLS, logger hclog.Logger, now func() time.Time) (*Loader, error) {
	l := &Loader{files: files, logger: logger, now: now}
	l.checked = now()
	l.stamps = l.readStamps()
	current, err := read(files)
	if err != nil {
		return nil, err
	}
	l.current = current
	return l, nil
}

// Server returns a listener's configuration. Each handshake uses the current
// files. With a CA file, clients must present a certificate signed by that
// authority.
func (l *Loader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return l.currentServerConfig(), nil
		},
	}
}

func (l *Loader) currentServerConfig() *tls.Config {
	current := l.currentMaterial()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{current.certificate},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if current.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = current.authorities
	}
	return config
}

// Client returns the configuration for one new connection to a server that must
// present a certificate for serverName. Callers call it for each connection.
func (l *Loader) Client(serverName string) *tls.Config {
	current := l.currentMaterial()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		ServerName:   serverName,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authorities,
	}
}

// currentMaterial returns the current material. It first checks the files if the
// last check is at least checkInterval ago.
func (l *Loader) currentMaterial() material {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.checked) < checkInterval {
		return l.current
	}
	l.checked = now
	stamps := l.readStamps()
	if stamps == l.stamps {
		return l.current
	}
	fresh, err := read(l.files)
	if err != nil {
		eventNotRead.Log(l.logger, "error", err)
		return l.current // the stamps are unchanged, so that the next check retries
	}
	l.stamps = stamps
	l.current = fresh
	l.generation++
	eventRead.Log(l.logger, "certificate", l.files.CertFile)
	return l.current
}

// readStamps returns the files' stamps; a missing file has the zero stamp.
func (l *Loader) readStamps() [3]stamp {
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
