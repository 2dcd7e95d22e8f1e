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

// newFailure returns body as an error that carries an HTTP status.
func newFailure(status int, body adminapi.Failure) error {
	return merry.Wrap(&body, merry.WithHTTPCode(status), merry.NoCaptureStack())
}

// unavailable returns a failure with status 503 and the delay before a retry.
func unavailable(code adminapi.Code, message string, wait time.Duration) error {
	return newFailure(http.StatusServiceUnavailable, adminapi.Failure{Code: code, Message: message, RetryAfterMs: wait.Milliseconds()})
}

// failureOf returns the failure that err reports to the operator. An error without
// one becomes adminapi.CodeInternal.
func failureOf(err error) *adminapi.Failure {
	var body *adminapi.Failure
	if errors.As(err, &body) {
		return body
	}
	return &adminapi.Failure{Code: adminapi.CodeInternal, Message: err.Error()}
}

// writeError responds with the status and the failure of err. It rounds Retry-After
// up to whole seconds.
func writeError(w http.ResponseWriter, err error) {
	body := failureOf(err)
	if wait := body.RetryAfter(); wait > 0 {
		seconds := (wait + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, merry.HTTPCode(err), body)
}

func writeFailure(w http.ResponseWriter, status int, code adminapi.Code, message string) {
	writeError(w, newFailure(status, adminapi.Failure{Code: code, Message: message}))
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

// readBody reads a request body of at most adminapi.MaxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, adminapi.MaxBodyBytes))
	if err == nil {
		return text, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := "longer than " + strconv.Itoa(adminapi.MaxBodyBytes) + " bytes; nothing changed"
		return nil, newFailure(http.StatusRequestEntityTooLarge, adminapi.Failure{Code: adminapi.CodeTooLarge, Message: message})
	}
	return nil, newFailure(http.StatusBadRequest, adminapi.Failure{Code: adminapi.CodeMalformed, Message: "body cannot be read; nothing changed"})
}

// readJSON decodes a request body of at most adminapi.MaxBodyBytes and rejects
// unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, adminapi.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return newFailure(http.StatusBadRequest, adminapi.Failure{Code: adminapi.CodeMalformed, Message: "body: " + err.Error() + "; nothing changed"})
	}
	return nil
}

// operatorName returns the operator's name from the request header for use in
// events. It truncates the name to adminapi.MaxOperatorBytes and replaces characters
// outside printable ASCII.
func operatorName(r *http.Request) string {
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
