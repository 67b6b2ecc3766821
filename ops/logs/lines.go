package logs

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// longestLine is the maximum length of one line of a log, in bytes.
const longestLine = 1 << 20

// EachObject calls f with the JSON object of each structured line of a log; the
// object is valid until f returns. Text before a line's first brace, such as a
// time that some collectors add, is skipped, and so is a line without a brace.
// f must ignore objects that it can't parse.
func EachObject(r io.Reader, f func(object []byte)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		if brace := bytes.IndexByte(text, '{'); brace >= 0 {
			f(text[brace:])
		}
	}
	return eris.Wrap(scanner.Err(), "read log")
}
