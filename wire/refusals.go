package wire

import (
	"bytes"
	"encoding/gob"

	"persimmonrock.example/structs"
)

// Refusals has one entry for each item of a request, nil if the item was
// accepted.
//
// Failure guarded against: gob can't encode a nil element of a slice of
// pointers. net/rpc then closes the connection instead of answering. The caller
// assumes that the request was sent and lost, and every other call on the
// connection fails. So the entries are sent as values, an empty one for nil.
type Refusals []*structs.Refusal

// GobEncode implements gob.GobEncoder.
func (r Refusals) GobEncode() ([]byte, error) {
	values := make([]structs.Refusal, len(r))
	for i, refusal := range r {
		if refusal != nil {
			values[i] = *refusal
		}
	}
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(values)
	return b.Bytes(), err
}

// GobDecode implements gob.GobDecoder.
func (r *Refusals) GobDecode(b []byte) error {
	var values []structs.Refusal
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&values); err != nil {
		return err
	}
	*r = make(Refusals, len(values))
	for i := range values {
		if values[i].Type != "" {
			(*r)[i] = &values[i]
		}
	}
	return nil
}
