package fanout

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// packed is the compressed content of one version of a document.
type packed struct {
	data    []byte
	version int64
}

// writers holds compressors, which take 1.2 MB each.
var writers = sync.Pool{New: func() any {
	// The error is only that of an unknown level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// pack compresses content with DEFLATE.
func pack(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, _ := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	if _, err := w.Write(content); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return b.Bytes(), nil
}

// unpack returns the content of data, or an error if it is damaged or larger than core.MaxDocumentBytes.
func unpack(data []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), core.MaxDocumentBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "decompress")
	}
	if len(content) > core.MaxDocumentBytes {
		return nil, errors.Errorf("more than %d bytes", core.MaxDocumentBytes)
	}
	return content, nil
}
