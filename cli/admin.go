package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/adminapi"
)

// Environment variables that provide the defaults of flags.
const (
	envAdmin = "BURDOCKSPINDLE_ADMIN"
	envToken = "BURDOCKSPINDLE_TOKEN"
	envUser  = "USER"
)

// adminCallTimeout is the timeout of one call. It is long because a profile or a
// dump takes time to produce.
const adminCallTimeout = time.Minute

// adminFlags holds the address of an administration API and the credentials for
// it.
type adminFlags struct {
	url       string
	token     string
	tokenFile string
	operator  string
	caFile    string
	certFile  string
	keyFile   string
}

func (f *adminFlags) declare(sub *flaggy.Subcommand) {
	sub.String(&f.url, "a", "admin", "URL of a node's administration API (default: $"+envAdmin+")")
	sub.String(&f.token, "", "token", "bearer token (default: $"+envToken+")")
	sub.String(&f.tokenFile, "", "token-file", "file that holds the bearer token")
	sub.String(&f.operator, "", "operator", "your name for the log of changes (default: $"+envUser+")")
	sub.String(&f.caFile, "", "ca-file", "PEM file with the authorities of an https URL")
	sub.String(&f.certFile, "", "cert-file", "PEM file with a client certificate")
	sub.String(&f.keyFile, "", "key-file", "PEM file with its key")
}

// client returns a client configured from the flags and the environment.
func (f *adminFlags) client(env *Env) (*adminapi.Client, error) {
	address := firstNonEmpty(f.url, env.Getenv(envAdmin))
	if address == "" {
		return nil, &UsageError{Problem: "--admin URL or $" + envAdmin + " is needed"}
	}
	token, err := f.readToken(env)
	if err != nil {
		return nil, err
	}
	config, err := f.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: config, Proxy: http.ProxyFromEnvironment}
	operator := firstNonEmpty(f.operator, env.Getenv(envUser))
	return adminapi.NewClient(address, token, operator, &http.Client{Transport: transport, Timeout: adminCallTimeout})
}

func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

func (f *adminFlags) readToken(env *Env) (string, error) {
	if f.token != "" && f.tokenFile != "" {
		return "", &UsageError{Problem: "give --token or --token-file, not both"}
	}
	if f.tokenFile != "" {
		text, err := os.ReadFile(f.tokenFile)
		if err != nil {
			return "", &FileError{File: f.tokenFile, Cause: err}
		}
		return strings.TrimSpace(string(text)), nil
	}
	token := firstNonEmpty(f.token, env.Getenv(envToken))
	if token == "" {
		return "", &UsageError{Problem: "--token, --token-file or $" + envToken + " is needed"}
	}
	return token, nil
}

// tlsConfig returns the TLS configuration; nil if the flags name no file.
func (f *adminFlags) tlsConfig() (*tls.Config, error) {
	if f.caFile == "" && f.certFile == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if f.caFile != "" {
		pem, err := os.ReadFile(f.caFile)
		if err != nil {
			return nil, &FileError{File: f.caFile, Cause: err}
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, &UsageError{Problem: f.caFile + " holds no PEM certificate"}
		}
	}
	if f.certFile != "" {
		certificate, err := tls.LoadX509KeyPair(f.certFile, f.keyFile)
		if err != nil {
			return nil, &FileError{File: f.certFile, Cause: err}
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	return config, nil
}
