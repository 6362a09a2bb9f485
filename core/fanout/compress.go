package fanout

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

// compressedContent is the compressed content of one version of a document.
type compressedContent struct {
	data    []byte
	version int64
}

// compressors pools compressors, because each takes 1.2 MB.
var compressors = sync.Pool{New: func() any {
	// The only possible error is an invalid level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// compress compresses content with DEFLATE.
func compress(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, _ := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	if _, err := w.Write(content); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return b.Bytes(), nil
}

// decompress returns the decompressed data. It returns an error if data is damaged or the content exceeds
// core.MaxDocumentBytes.
func decompress(data []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), core.MaxDocumentBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "decompress")
	}
	if len(content) > core.MaxDocumentBytes {
		return nil, errors.Errorf("decompressed content has more than %d bytes", core.MaxDocumentBytes)
	}
	return content, nil
}
