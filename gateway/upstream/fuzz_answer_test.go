package upstream

import (
	"bytes"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/traffic"
)

// bytesConn is a connection that delivers bytes and then ends.
type bytesConn struct {
	net.Conn
	source *bytes.Reader
}

func (c bytesConn) Read(p []byte) (int, error)      { return c.source.Read(p) }
func (c bytesConn) SetReadDeadline(time.Time) error { return nil }

// FuzzAnswer checks that what passes for an answer is one by RFC 9112, with the same status and body.
func FuzzAnswer(f *testing.F) {
	for _, text := range invalidAnswers {
		f.Add([]byte(text))
	}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole and more",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\nto the end",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nwhole\r\n0\r\nSum: 1\r\n\r\n",
		"HTTP/1.1 404 Not Found\nContent-Length: 0, 0\n\n",
		"HTTP/1.1 204 No Content\r\n\r\nmore",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := NewClient(Headers{}, "a")
		status, body, isAnswer := readAnswer(c, raw)
		if !isAnswer {
			return
		}
		want, isStandard := parseAnswer(raw)
		if !isStandard {
			t.Fatalf("%q passes for an answer", raw)
		}
		if status != want.status || !bytes.Equal(body, want.body) {
			t.Fatalf("%q is answered with %d %q, not with %d %q", raw, status, body, want.status, want.body)
		}
	})
}

// readAnswer reads an answer to a GET request as a client does.
func readAnswer(c *Client, raw []byte) (status int, body []byte, isAnswer bool) {
	cn := newConn(bytesConn{source: bytes.NewReader(raw)}, traffic.Between(traffic.Servers, "a", "a"))
	response, err := readResponse(cn, http.MethodGet)
	if err != nil {
		return 0, nil, false
	}
	defer func() { _ = response.Body.Close() }()
	held := c.Hold()
	defer held.Release()
	body, err = readBody(cn, response.Body, held)
	if err != nil || c.checkWhole(response, true) != nil {
		return 0, nil, false
	}
	return response.StatusCode, body, true
}

// standardAnswer is an answer by RFC 9112.
type standardAnswer struct {
	status int
	body   []byte
}

var (
	statusLine = regexp.MustCompile(`^HTTP/1\.[1-9] +([1-5][0-9][0-9])( .*)?$`)
	fieldName  = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+$")
	chunkSize  = regexp.MustCompile(`^([0-9A-Fa-f]+)[ \t]*(;.*)?$`)
	digits     = regexp.MustCompile(`^[0-9]+$`)
)

// messageReader reads the lines and bytes of a message.
type messageReader struct{ rest []byte }

// line returns the next line without its end, which may lack the carriage return.
func (r *messageReader) line() (string, bool) {
	text, rest, found := bytes.Cut(r.rest, []byte("\n"))
	r.rest = rest
	return strings.TrimSuffix(string(text), "\r"), found
}

// fields returns the values of the next fields by their names in lower case.
func (r *messageReader) fields() (map[string][]string, bool) {
	all := map[string][]string{}
	last := ""
	for {
		line, found := r.line()
		if !found || strings.Contains(line, "\x00") {
			return nil, false
		}
		if line == "" {
			return all, true
		}
		if line[0] == ' ' || line[0] == '\t' { // a folded line, which a gateway may join
			if last == "" {
				return nil, false
			}
			values := all[last]
			values[len(values)-1] = strings.Trim(values[len(values)-1]+" "+strings.Trim(line, " \t"), " \t")
			continue
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !fieldName.MatchString(name) {
			return nil, false
		}
		last = strings.ToLower(name)
		all[last] = append(all[last], strings.Trim(value, " \t"))
	}
}

// parseAnswer returns the final answer to a GET request, by the standard alone.
func parseAnswer(raw []byte) (standardAnswer, bool) {
	r := &messageReader{rest: raw}
	for {
		line, _ := r.line()
		match := statusLine.FindStringSubmatch(line)
		if match == nil {
			return standardAnswer{}, false
		}
		fields, areValid := r.fields()
		if !areValid {
			return standardAnswer{}, false
		}
		status, _ := strconv.Atoi(match[1])
		if status == http.StatusSwitchingProtocols {
			return standardAnswer{}, false
		}
		if status < http.StatusOK {
			continue
		}
		body, isWhole := r.body(status, fields)
		return standardAnswer{status: status, body: body}, isWhole
	}
}

func (r *messageReader) body(status int, fields map[string][]string) ([]byte, bool) {
	if status == http.StatusNoContent || status == http.StatusNotModified {
		return nil, true
	}
	if encodings, isEncoded := fields["transfer-encoding"]; isEncoded {
		if len(encodings) != 1 || !strings.EqualFold(encodings[0], "chunked") {
			return nil, false
		}
		return r.chunks()
	}
	lengths, hasLength := fields["content-length"]
	if !hasLength {
		return r.rest, true
	}
	length := -1
	for _, text := range strings.Split(strings.Join(lengths, ","), ",") {
		text = strings.Trim(text, " \t")
		n, err := strconv.Atoi(text)
		if !digits.MatchString(text) || err != nil || length >= 0 && n != length {
			return nil, false
		}
		length = n
	}
	if length > len(r.rest) {
		return nil, false
	}
	return r.rest[:length], true
}

func (r *messageReader) chunks() ([]byte, bool) {
	var body []byte
	for {
		line, found := r.line()
		match := chunkSize.FindStringSubmatch(line)
		if !found || match == nil {
			return nil, false
		}
		size, err := strconv.ParseInt(match[1], 16, 64)
		if err != nil || size > int64(len(r.rest)) {
			return nil, false
		}
		if size == 0 {
			_, areValid := r.fields()
			return body, areValid
		}
		body = append(body, r.rest[:size]...)
		r.rest = r.rest[size:]
		if end, found := r.line(); !found || end != "" {
			return nil, false
		}
	}
}
