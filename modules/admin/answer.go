package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/adminapi"
)

// failure is an answer that is not 2xx.
type failure struct {
	status int
	body   adminapi.Failure
}

func failed(status int, code adminapi.Code, message string) *failure {
	return &failure{status: status, body: adminapi.Failure{Code: code, Message: message}}
}

// later adds when to ask again.
func (f *failure) later(wait time.Duration) *failure {
	f.body.RetryAfterMs = wait.Milliseconds()
	return f
}

func (f *failure) write(w http.ResponseWriter) {
	if wait := f.body.RetryAfter(); wait > 0 {
		seconds := (wait + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, f.status, f.body)
}

func fail(w http.ResponseWriter, status int, code adminapi.Code, message string) {
	failed(status, code, message).write(w)
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
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *failure) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, adminapi.MaxBodyBytes))
	if err == nil {
		return text, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := "longer than " + strconv.Itoa(adminapi.MaxBodyBytes) + " bytes; nothing changed"
		return nil, failed(http.StatusRequestEntityTooLarge, adminapi.CodeTooLarge, message)
	}
	return nil, failed(http.StatusBadRequest, adminapi.CodeMalformed, "body cannot be read; nothing changed")
}

// readJSON decodes a request's body and refuses unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, into any) *failure {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, adminapi.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return failed(http.StatusBadRequest, adminapi.CodeMalformed, "body: "+err.Error()+"; nothing changed")
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
