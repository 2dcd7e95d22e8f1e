package server

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Answer is the body of a stand-in server's answer: one line of JSON, and then
// Size bytes of filler that follow from CallerRequest, so that an answer that
// was cut, mixed with another, or given to the wrong caller is found.
type Answer struct {
	Server        topo.ServerID `json:"server"`
	Boot          topo.BootID   `json:"boot"`
	Service       topo.Service  `json:"service"`
	Key           string        `json:"key"`
	RequestID     string        `json:"requestId"` // of the attempt that ran
	CallerRequest string        `json:"callerRequest"`
	Method        string        `json:"method"`
	BodyDigest    string        `json:"bodyDigest"` // DigestOf the request's body
	Value         uint64        `json:"value"`      // of the key, after the request
	Size          int64         `json:"size"`       // of the filler
}

// ReadAnswer reads a whole answer and checks its filler. Errors are
// *AnswerError or r's own.
func ReadAnswer(r io.Reader) (Answer, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return Answer{}, err
	}
	line, rest, found := bytes.Cut(data, []byte("\n"))
	var answer Answer
	if !found || json.Unmarshal(line, &answer) != nil {
		return Answer{}, &AnswerError{Problem: "no line of JSON"}
	}
	if int64(len(rest)) != answer.Size {
		return answer, &AnswerError{Problem: "filler has " + strconv.Itoa(len(rest)) + " bytes"}
	}
	var want bytes.Buffer
	_ = writeFiller(&want, answer.CallerRequest, answer.Size)
	if !bytes.Equal(rest, want.Bytes()) {
		return answer, &AnswerError{Problem: "filler of another request"}
	}
	return answer, nil
}

// AnswerError reports an answer that is not whole.
type AnswerError struct{ Problem string }

// Error implements error.
func (e *AnswerError) Error() string { return "answer not whole: " + e.Problem }

// head returns the first line.
func (a Answer) head() []byte {
	line, _ := json.Marshal(a) // strings and numbers only
	return append(line, '\n')
}

const fillerBlock = 4096

// writeFiller writes size bytes of the seed repeated.
func writeFiller(w io.Writer, seed string, size int64) error {
	unit := seed + "|"
	// A block holds whole repetitions, so that blocks can be joined.
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
