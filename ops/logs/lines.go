package logs

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// longestLine bounds one line of a log, in bytes.
const longestLine = 1 << 20

// EachObject calls f with the JSON object of each structured line of a log;
// what it is given is valid until f returns. What stands before a line's first
// brace, as some collectors put a time there, is passed over, and so is a line
// without a brace. f passes over what it can't read.
func EachObject(r io.Reader, f func(object []byte)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		if brace := bytes.IndexByte(text, '{'); brace >= 0 {
			f(text[brace:])
		}
	}
	return eris.Wrap(scanner.Err(), "read a log")
}
