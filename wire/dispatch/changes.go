package dispatch

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra/rowstore"
)

// ChangesArgs asks an entry for the rows of a table that have changed after the
// version After, or for all rows as of After or later. The answer to the former
// waits up to Wait for the store's next answer.
type ChangesArgs struct {
	Table string
	All   bool
	After uint64
	Wait  time.Duration
}

// ChangesReply holds the changed rows, with packed values.
type ChangesReply struct {
	// Known says that the entry knows what was asked for. Compacted says that it
	// does not know all changes since the version, but all rows.
	Known     bool
	Compacted bool
	Rows      []rowstore.Row
	// At is as of the sending of the reply, Waited the time from the arrival of
	// the call to then.
	At     rowstore.Stamp
	Waited time.Duration
}

// maxUnpacked bounds an unpacked value in bytes; the store's rows are smaller.
const maxUnpacked = 4 << 20

// Pack compresses a value.
func Pack(value []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is valid
	}
	_, _ = w.Write(value) // a bytes.Buffer takes all
	_ = w.Close()
	return out.Bytes()
}

// Unpack returns the value that Pack has compressed.
func Unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked+1))
	if err == nil && len(value) > maxUnpacked {
		err = eris.Errorf("more than %d bytes", maxUnpacked)
	}
	return value, eris.Wrap(err, "unpack a row")
}
