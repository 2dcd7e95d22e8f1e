package history

import (
	"encoding/json"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// envelope is one line of the encoded form.
type envelope struct {
	Kind  Kind            `json:"kind"`
	Event json.RawMessage `json:"event"`
}

// Encode writes events as JSON, one per line.
func Encode(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, event := range events {
		body, err := json.Marshal(event)
		if err != nil {
			return merry.Wrap(&EncodingError{Kind: event.Kind(), Cause: err})
		}
		if err := encoder.Encode(envelope{Kind: event.Kind(), Event: body}); err != nil {
			return merry.Wrap(&EncodingError{Kind: event.Kind(), Cause: err})
		}
	}
	return nil
}

// Decode reads events in the format of Encode until the end of r.
func Decode(r io.Reader) ([]Event, error) {
	decoder := json.NewDecoder(r)
	var events []Event
	for {
		var line envelope
		err := decoder.Decode(&line)
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, merry.Wrap(&EncodingError{Cause: err})
		}
		event, err := decodeEvent(line)
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

func decodeEvent(line envelope) (Event, error) {
	switch line.Kind {
	case KindOwnerInterval:
		return decodeAs[OwnerInterval](line)
	case KindRunBegan:
		return decodeAs[RunBegan](line)
	case KindRunEnded:
		return decodeAs[RunEnded](line)
	case KindServerStopped:
		return decodeAs[ServerStopped](line)
	case KindCallerSent:
		return decodeAs[CallerSent](line)
	case KindCallerAnswered:
		return decodeAs[CallerAnswered](line)
	case KindAssignmentKnown:
		return decodeAs[AssignmentKnown](line)
	case KindSitePublished:
		return decodeAs[SitePublished](line)
	case KindSiteInForce:
		return decodeAs[SiteInForce](line)
	}
	return nil, merry.Wrap(&UnknownKindError{Kind: line.Kind})
}

func decodeAs[T Event](line envelope) (Event, error) {
	var event T
	if err := json.Unmarshal(line.Event, &event); err != nil {
		return nil, merry.Wrap(&EncodingError{Kind: line.Kind, Cause: err})
	}
	return event, nil
}

// EncodingError reports an event that cannot be written or read.
type EncodingError struct {
	Kind  Kind // empty if unknown
	Cause error
}

// Error implements error.
func (e *EncodingError) Error() string {
	return "history event " + string(e.Kind) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *EncodingError) Unwrap() error { return e.Cause }

// UnknownKindError reports an encoded event of an unknown kind.
type UnknownKindError struct{ Kind Kind }

// Error implements error.
func (e *UnknownKindError) Error() string { return "unknown history event kind: " + string(e.Kind) }
