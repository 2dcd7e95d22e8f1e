package server

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Answer is the body of a stand-in server's answer: one line of JSON, followed by
// Size bytes of filler derived from CallerRequest, so that an answer that was
// truncated, mixed with another, or sent to the wrong caller is detected.
type Answer struct {
	Server        topo.ServerID `json:"server"`
	Boot          topo.BootID   `json:"boot"`
	Service       topo.Service  `json:"service"`
	Key           string        `json:"key"`
	RequestID     string        `json:"requestId"` // of the attempt that was run
	CallerRequest string        `json:"callerRequest"`
	Method        string        `json:"method"`
	BodyDigest    string        `json:"bodyDigest"` // DigestOf the request's body
	Value         uint64        `json:"value"`      // of the key, after the request
	Size          int64         `json:"size"`       // of the filler
}

// ReadAnswer reads an answer to its end and checks its filler. It returns an
// *AnswerError or the error of r.
func ReadAnswer(r io.Reader) (Answer, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return Answer{}, err
	}
	line, rest, found := bytes.Cut(data, []byte("\n"))
	var answer Answer
	if !found || json.Unmarshal(line, &answer) != nil {
		return Answer{}, &AnswerError{Problem: "first line is not JSON"}
	}
	if int64(len(rest)) != answer.Size {
		return answer, &AnswerError{Problem: "filler has " + strconv.Itoa(len(rest)) + " bytes"}
	}
	var want bytes.Buffer
	_ = writeFiller(&want, answer.CallerRequest, answer.Size)
	if !bytes.Equal(rest, want.Bytes()) {
		return answer, &AnswerError{Problem: "filler does not match the caller's request"}
	}
	return answer, nil
}

// AnswerError reports an incomplete or corrupt answer.
type AnswerError struct{ Problem string }

// Error implements error.
func (e *AnswerError) Error() string { return "incomplete or corrupt answer: " + e.Problem }

// head returns the first line.
func (a Answer) head() []byte {
	line, _ := json.Marshal(a) // strings and numbers only
	return append(line, '\n')
}

const fillerBlock = 4096

// writeFiller writes size bytes of the repeated seed.
func writeFiller(w io.Writer, seed string, size int64) error {
	unit := seed + "|"
	// A block consists of complete repetitions, so that blocks can be concatenated.
	block := strings.Repeat(unit, fillerBlock/len(unit)+1)
	for size > 0 {
		part := block[:min(size, int64(len(block)))]
		if _, err := io.WriteString(w, part); err != nil {
			return err
		}
		size -= int64(len(part))
	}
	return nil
}
