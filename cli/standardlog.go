package cli

import (
	"bytes"
	"io"
	"log"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
)

var eventLibrary = events.Define(1020, hclog.Debug, "message of a library")

// CaptureStandardLog logs the messages that libraries write to the standard logger
// as numbered events. For example, net/http reports there that a server sent
// unsolicited bytes on a connection, which the driver has discarded.
func CaptureStandardLog(logger hclog.Logger) {
	log.SetFlags(0)
	log.SetOutput(StandardWriter(logger))
}

// StandardWriter returns a writer that logs each write as one event.
func StandardWriter(logger hclog.Logger) io.Writer { return standardWriter{logger} }

type standardWriter struct{ logger hclog.Logger }

// Write implements io.Writer.
func (w standardWriter) Write(line []byte) (int, error) {
	eventLibrary.Log(w.logger, "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}
