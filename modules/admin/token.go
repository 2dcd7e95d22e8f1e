package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/adminapi"
)

const (
	bearerScheme = "Bearer "
	// unauthorizedLogEvery is the minimum interval between log lines about invalid
	// tokens.
	unauthorizedLogEvery = time.Second
)

// token is the digest of the accepted token. All digests have the same length, so
// that a comparison takes the same time for every guess.
type token struct {
	set    bool
	digest [sha256.Size]byte
}

func newToken(text string) token {
	return token{set: text != "", digest: sha256.Sum256([]byte(text))}
}

// accepts reports whether an Authorization header carries the token.
func (t token) accepts(header string) bool {
	scheme, rest := header, ""
	if len(header) >= len(bearerScheme) {
		scheme, rest = header[:len(bearerScheme)], header[len(bearerScheme):]
	}
	given := sha256.Sum256([]byte(rest))
	same := subtle.ConstantTimeCompare(given[:], t.digest[:]) == 1
	return t.set && strings.EqualFold(scheme, bearerScheme) && same
}

// requireToken passes only requests with the valid token to next.
func (a *api) requireToken(next http.Handler) http.Handler {
	var lastLogged atomic.Pointer[time.Time]
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		metricRequests.Add(1)
		if a.token.accepts(r.Header.Get("Authorization")) {
			next.ServeHTTP(w, r)
			return
		}
		metricUnauthorized.Add(1)
		now := time.Now()
		last := lastLogged.Load()
		if (last == nil || now.Sub(*last) >= unauthorizedLogEvery) && lastLogged.CompareAndSwap(last, &now) {
			eventUnauthorized.Log(a.logger, "remote", r.RemoteAddr, "path", r.URL.Path)
		}
		w.Header().Set("WWW-Authenticate", `Bearer realm="administration"`)
		writeFailure(w, http.StatusUnauthorized, adminapi.CodeUnauthorized, "a bearer token is needed")
	})
}
