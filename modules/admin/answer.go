package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/burdockspindle/burdockspindle/adminapi"
)

// failed returns a failure as an error that carries its HTTP status.
func failed(status int, body adminapi.Failure) error {
	return merry.Wrap(&body, merry.WithHTTPCode(status), merry.NoCaptureStack())
}

// unavailable returns a failure that says when to ask again.
func unavailable(code adminapi.Code, message string, wait time.Duration) error {
	return failed(http.StatusServiceUnavailable, adminapi.Failure{Code: code, Message: message, RetryAfterMs: wait.Milliseconds()})
}

// bodyOf returns what an error tells the operator.
func bodyOf(err error) *adminapi.Failure {
	var body *adminapi.Failure
	if errors.As(err, &body) {
		return body
	}
	return &adminapi.Failure{Code: adminapi.CodeInternal, Message: err.Error()}
}

// writeError answers with the error's status and failure.
func writeError(w http.ResponseWriter, err error) {
	body := bodyOf(err)
	if wait := body.RetryAfter(); wait > 0 {
		seconds := (wait + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, merry.HTTPCode(err), body)
}

func fail(w http.ResponseWriter, status int, code adminapi.Code, message string) {
	writeError(w, failed(status, adminapi.Failure{Code: code, Message: message}))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		status = http.StatusInternalServerError
		text = []byte(`{"code":"` + string(adminapi.CodeInternal) + `","message":"answer cannot be encoded"}`)
	}
	text = append(text, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// readBody reads a request's body within the limit.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, adminapi.MaxBodyBytes))
	if err == nil {
		return text, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := "longer than " + strconv.Itoa(adminapi.MaxBodyBytes) + " bytes; nothing changed"
		return nil, failed(http.StatusRequestEntityTooLarge, adminapi.Failure{Code: adminapi.CodeTooLarge, Message: message})
	}
	return nil, failed(http.StatusBadRequest, adminapi.Failure{Code: adminapi.CodeMalformed, Message: "body cannot be read; nothing changed"})
}

// readJSON decodes a request's body and refuses unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, adminapi.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return failed(http.StatusBadRequest, adminapi.Failure{Code: adminapi.CodeMalformed, Message: "body: " + err.Error() + "; nothing changed"})
	}
	return nil
}

// operator names who asks, for events.
func operator(r *http.Request) string {
	name := []byte(r.Header.Get(adminapi.HeaderOperator))
	if len(name) > adminapi.MaxOperatorBytes {
		name = name[:adminapi.MaxOperatorBytes]
	}
	for i, c := range name {
		if c < ' ' || c > '~' {
			name[i] = '?'
		}
	}
	return string(name)
}
