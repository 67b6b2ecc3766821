package remote

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"strings"
	"sync"
)

const (
	headerAccept   = "Accept-Encoding"
	headerEncoding = "Content-Encoding"
	encodingGzip   = "gzip"
	// minCompressed is the length in bytes from which an answer is compressed.
	// Rows of one kind are similar, so that scans shrink to a fraction of their
	// size; a node's share of control traffic is a few kilobytes a second.
	minCompressed = 1024
)

// compressors pools gzip writers, since each of them holds large tables.
var compressors = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

// compress returns body as gzip if the client accepts gzip and body is long
// enough; ok is false if body has to be sent as it is.
func compress(r *http.Request, body []byte) (compressed []byte, ok bool) {
	if len(body) < minCompressed || !strings.Contains(r.Header.Get(headerAccept), encodingGzip) {
		return nil, false
	}
	z := compressors.Get().(*gzip.Writer)
	defer compressors.Put(z)
	var b bytes.Buffer
	z.Reset(&b)
	if _, err := z.Write(body); err != nil {
		return nil, false
	}
	if err := z.Close(); err != nil {
		return nil, false
	}
	return b.Bytes(), b.Len() < len(body)
}

// readAnswer reads the whole body of an answer, which may be compressed. MaxBody
// bounds the expanded size, so that a short answer can't expand without limit.
func readAnswer(resp *http.Response) ([]byte, error) {
	if resp.Header.Get(headerEncoding) != encodingGzip {
		return readAll(resp.Body)
	}
	z, err := gzip.NewReader(resp.Body)
	if err != nil {
		return nil, err
	}
	return readAll(z)
}
