package relay

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// message is an Answer as sent from node to node. Times are in nanoseconds.
type message struct {
	Revision uint64          `cbor:"1,keyasint"`
	Now      int64           `cbor:"2,keyasint"`
	Stamp    int64           `cbor:"3,keyasint"`
	Age      int64           `cbor:"4,keyasint"`
	Changes  []changeMessage `cbor:"5,keyasint,omitempty"`
}

// changeMessage is a change in a message.
type changeMessage struct {
	Partition string `cbor:"1,keyasint"`
	Sort      string `cbor:"2,keyasint"`
	Version   uint64 `cbor:"3,keyasint"`
	Operation string `cbor:"4,keyasint,omitempty"`
	Body      []byte `cbor:"5,keyasint,omitempty"`
	Removed   bool   `cbor:"6,keyasint,omitempty"`
	// Unreadable is the text of the row's error, if it has one.
	Unreadable string `cbor:"7,keyasint,omitempty"`
}

// Encode returns an answer as sent to a follower.
func Encode(answer Answer) ([]byte, error) {
	changes := answer.Changes
	m := message{Revision: changes.Revision, Now: int64(changes.Now), Stamp: int64(answer.Stamp), Age: int64(answer.Age)}
	for _, change := range changes.Changes {
		encoded := changeMessage{
			Partition: change.Partition, Sort: change.Sort, Version: change.Version, Operation: change.Operation,
			Body: change.Body, Removed: change.Removed,
		}
		if change.Unreadable != nil {
			encoded.Unreadable = change.Unreadable.Error()
		}
		m.Changes = append(m.Changes, encoded)
	}
	body, err := cbor.Marshal(m)
	return body, Error.Wrap(err)
}

// Decode decodes an answer.
func Decode(body []byte) (Answer, error) {
	var m message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return Answer{}, Error.Wrap(err)
	}
	answer := Answer{
		Changes: table.Changes{Revision: m.Revision, Now: time.Duration(m.Now)},
		Stamp:   time.Duration(m.Stamp), Age: max(0, time.Duration(m.Age)),
	}
	for _, encoded := range m.Changes {
		row := table.Row{
			Key: table.Key{Partition: encoded.Partition, Sort: encoded.Sort}, Version: encoded.Version,
			Operation: encoded.Operation, Body: encoded.Body,
		}
		if encoded.Unreadable != "" {
			row.Unreadable = Error.Wrap(errors.New(encoded.Unreadable))
		}
		answer.Changes.Changes = append(answer.Changes.Changes, table.Change{Row: row, Removed: encoded.Removed})
	}
	return answer, nil
}
