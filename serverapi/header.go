package serverapi

import (
	"net/url"
	"strings"
)

const upperHex = "0123456789ABCDEF"

// EncodeValue encodes a key or shard as a header value: every byte that is not
// printable ASCII, the space and the percent sign are percent-encoded.
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

// DecodeValue decodes a value that EncodeValue encoded. The error is a *ValueError.
func DecodeValue(text string) (string, error) {
	value, err := url.PathUnescape(text)
	if err != nil {
		return "", &ValueError{Text: text}
	}
	return value, nil
}

// ValueError reports a header value whose percent-encoding is invalid.
type ValueError struct{ Text string }

// Error implements error.
func (e *ValueError) Error() string { return "header value not readable: " + e.Text }
