// Package quarantine decides which requests are refused because servers end while they run
// them. Such a request returns from its caller under a new ID, at any node, and ends one
// server after the other. The package has no I/O and no clock: times are passed as
// arguments.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request that returns. It is a hash, half of it in each field, and
// contains no data of the request.
type Fingerprint struct{ High, Low uint64 }

// Caller identifies who sent a request, for bounds. It is a hash of the caller's address.
type Caller uint64

// FingerprintOf returns the fingerprint of a request. credentials is what the caller presents
// to identify itself, and path is without the query. Query and the caller's address are not part
// of it, because a request may return with another query and from another address. The body is given in parts. The hash is cryptographic, so that nobody can
// make another request with the fingerprint of a given one.
func FingerprintOf(credentials, method, host, path string, body ...[]byte) Fingerprint {
	hash := sha256.New()
	for _, field := range []string{credentials, method, host, path} {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(field))) // never fails
		_, _ = hash.Write([]byte(field))                             // never fails
	}
	for _, part := range body {
		_, _ = hash.Write(part) // never fails
	}
	sum := hash.Sum(nil)
	return Fingerprint{High: binary.BigEndian.Uint64(sum), Low: binary.BigEndian.Uint64(sum[8:])}
}

// CallerOf returns the caller at an address without the port.
func CallerOf(address string) Caller {
	sum := sha256.Sum256([]byte(address))
	return Caller(binary.BigEndian.Uint64(sum[:]))
}

// encodedBytes is the length of a fingerprint in binary form.
const encodedBytes = 16

// MarshalText implements encoding.TextMarshaler: 32 hexadecimal digits.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error is a *MalformedError.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != encodedBytes {
		return &MalformedError{Text: string(text)}
	}
	f.High = binary.BigEndian.Uint64(raw)
	f.Low = binary.BigEndian.Uint64(raw[8:])
	return nil
}

// String returns the fingerprint as 32 hexadecimal digits.
func (f Fingerprint) String() string {
	raw := binary.BigEndian.AppendUint64(nil, f.High)
	return hex.EncodeToString(binary.BigEndian.AppendUint64(raw, f.Low))
}

// MalformedError reports a text that is not a fingerprint.
type MalformedError struct{ Text string }

// Error implements error.
func (e *MalformedError) Error() string { return "not a fingerprint of a request: " + e.Text }
