package serverapi

import (
	"net/url"
	"strings"
)

const upperHex = "0123456789ABCDEF"

// EncodeValue writes a key or shard so that it can stand in a header:
// everything but printable ASCII, and the percent sign, is percent-encoded.
func EncodeValue(value string) string {
	var b strings.Builder
	for _, char := range []byte(value) {
		if char > ' ' && char < 0x7f && char != '%' {
			b.WriteByte(char)
			continue
		}
		b.WriteByte('%')
		b.WriteByte(upperHex[char>>4])
		b.WriteByte(upperHex[char&0xf])
	}
	return b.String()
}

// DecodeValue reads what EncodeValue wrote. The error is a *ValueError.
func DecodeValue(text string) (string, error) {
	value, err := url.PathUnescape(text)
	if err != nil {
		return "", &ValueError{Text: text}
	}
	return value, nil
}

// ValueError reports a header value that is not percent-encoded as it should
// be.
type ValueError struct{ Text string }

// Error implements error.
func (e *ValueError) Error() string { return "header value not readable: " + e.Text }
