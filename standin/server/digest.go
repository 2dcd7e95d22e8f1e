package server

import (
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const hexBase = 16

// DigestOf returns the digest of a request's body that an Answer carries.
func DigestOf(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), hexBase) }

// digestBody reads a body to its end and returns its digest.
func digestBody(body io.Reader) (string, error) {
	hash := xxhash.New()
	if body == nil {
		return DigestOf(nil), nil
	}
	if _, err := io.Copy(hash, body); err != nil {
		return "", err
	}
	return strconv.FormatUint(hash.Sum64(), hexBase), nil
}
