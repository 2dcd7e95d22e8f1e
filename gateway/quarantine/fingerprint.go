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

// Fingerprint identifies a request that returns. It contains no data of the request.
type Fingerprint struct {
	// Caller is a hash of the caller's address.
	Caller uint64
	// Request is a hash of the caller and of what the request asks for.
	Request uint64
}

// FingerprintOf returns the fingerprint of a request. caller is the address without the
// port, and path is without the query. The hash is cryptographic, so that a caller cannot
// make a request with the fingerprint of another caller's.
func FingerprintOf(caller, method, host, path string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, field := range []string{caller, method, host, path} {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(field))) // never fails
		_, _ = hash.Write([]byte(field))                             // never fails
	}
	_, _ = hash.Write(body) // never fails
	ofCaller := sha256.Sum256([]byte(caller))
	return Fingerprint{
		Caller:  binary.BigEndian.Uint64(ofCaller[:]),
		Request: binary.BigEndian.Uint64(hash.Sum(nil)),
	}
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
	f.Caller = binary.BigEndian.Uint64(raw)
	f.Request = binary.BigEndian.Uint64(raw[8:])
	return nil
}

// String returns the fingerprint as 32 hexadecimal digits.
func (f Fingerprint) String() string {
	raw := binary.BigEndian.AppendUint64(nil, f.Caller)
	return hex.EncodeToString(binary.BigEndian.AppendUint64(raw, f.Request))
}

// MalformedError reports a text that is not a fingerprint.
type MalformedError struct{ Text string }

// Error implements error.
func (e *MalformedError) Error() string { return "not a fingerprint of a request: " + e.Text }
