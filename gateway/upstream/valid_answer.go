package upstream

import (
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// InvalidAnswerError reports bytes in the place of an answer that are none.
type InvalidAnswerError struct {
	Part string // "status", "version", "header", "trailer" or "signature"
	Text string
}

// Error implements error.
func (e *InvalidAnswerError) Error() string {
	return fmt.Sprintf("not a valid answer: %s %q", e.Part, e.Text)
}

// Statuses of HTTP (RFC 9110, section 15).
const (
	minStatus    = 100
	statusDigits = 3
	maxStatus    = 599
)

// CheckHead checks the head of a response, of which package net/http accepts more than the standard allows. A field whose name
// is not valid is not in force, so that the body may not be the one that was sent. The error is an *InvalidAnswerError.
func CheckHead(response *http.Response) error {
	if response.ProtoMajor != 1 || response.ProtoMinor < 1 { // of HTTP/1.0 a Transfer-Encoding would be passed over
		return &InvalidAnswerError{Part: "version", Text: response.Proto}
	}
	if !isStatus(response) {
		return &InvalidAnswerError{Part: "status", Text: response.Status}
	}
	return checkFields("header", response.Header)
}

// isStatus reports whether a status consists of three digits and is of a class of HTTP.
func isStatus(response *http.Response) bool {
	text, _, _ := strings.Cut(response.Status, " ")
	areDigits := len(text) == statusDigits && strings.Trim(text, "0123456789") == ""
	return areDigits && response.StatusCode >= minStatus && response.StatusCode <= maxStatus
}

// checkFields checks the names and values of fields. The error is an *InvalidAnswerError.
func checkFields(part string, fields http.Header) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidAnswerError{Part: part, Text: name}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &InvalidAnswerError{Part: part, Text: name + ": " + value}
			}
		}
	}
	return nil
}

// checkWhole checks an answer once its body has been read. Successes of servers are signed if the deployment has signatures; those
// of other nodes have been checked there. The error is an *InvalidAnswerError.
func (c *Client) checkWhole(response *http.Response, isRequest bool) error {
	if err := checkFields("trailer", response.Trailer); err != nil {
		return err
	}
	isSuccess := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	if isRequest && isSuccess && c.signature != "" && response.Header.Get(c.signature) == "" {
		return &InvalidAnswerError{Part: "signature", Text: ""}
	}
	return nil
}

// noteInvalid counts an answer that is not valid, and logs the first of a server.
func (c *Client) noteInvalid(server site.ServerID, err *InvalidAnswerError) {
	invalidAnswerCount.Add(1)
	c.invalidAnswers.note(eventInvalidAnswer, server, err.Error())
}
