package core

import (
	"crypto/sha256"

	"github.com/juju/errors"
)

// Limits of document transfers between processes.
const (
	// DocumentChunkBytes is the largest chunk of a document in one reply, in bytes.
	DocumentChunkBytes = 512 << 10
	// MaxDocumentBytes is the largest document that processes exchange, in bytes.
	MaxDocumentBytes = 32 << 20
	maxDocumentName  = 200
)

// DocumentSettings is the name of the document that carries the accepted settings.
const DocumentSettings = "settings"

// Document is a named value whose version only increases: the settings, or the ownership document of a region.
// Version is the revision of the settings or the epoch of the ownership document, not the version of the stored object.
type Document struct {
	Content []byte `json:"content" msgpack:"content"`
	Name    string `json:"name" msgpack:"name"`
	Version int64  `json:"version" msgpack:"version"`
}

// DocumentNotice announces the version of a document that the sender has.
type DocumentNotice struct {
	Name    string `json:"name" msgpack:"name"`
	Version int64  `json:"version" msgpack:"version"`
}

// Validate implements Validator.Validate.
func (n DocumentNotice) Validate() error {
	if n.Name == "" || len(n.Name) > maxDocumentName {
		return errors.NotValidf("name: length %d", len(n.Name))
	}
	if n.Version <= 0 {
		return errors.NotValidf("version: %d", n.Version)
	}
	return nil
}

// DocumentSyncGet requests the list of a peer's documents unless the checksum of their names and versions equals Sum. A
// request with an empty body always returns the list.
type DocumentSyncGet struct {
	Sum []byte `json:"sum" msgpack:"sum"`
}

// Validate implements Validator.Validate.
func (g DocumentSyncGet) Validate() error {
	if len(g.Sum) != sha256.Size {
		return errors.NotValidf("sum: %d bytes", len(g.Sum))
	}
	return nil
}

// DocumentSync lists all documents of a process; it is empty if the requester has the same documents.
type DocumentSync struct {
	Documents []DocumentNotice `json:"documents" msgpack:"documents"`
}

// Validate implements Validator.Validate.
func (s DocumentSync) Validate() error {
	for i, n := range s.Documents {
		if err := n.Validate(); err != nil {
			return errors.Annotatef(err, "documents[%d]", i)
		}
	}
	return nil
}

// DocumentGet requests the chunk of a compressed document that starts at Offset bytes; Version 0 means the newest. A
// requester that has an older version sets Held to it and may receive the changes since that version instead.
type DocumentGet struct {
	Held    int64  `json:"held" msgpack:"held,omitempty"`
	Name    string `json:"name" msgpack:"name"`
	Offset  int    `json:"offset" msgpack:"offset"`
	Version int64  `json:"version" msgpack:"version"`
}

// Validate implements Validator.Validate.
func (g DocumentGet) Validate() error {
	if g.Name == "" || len(g.Name) > maxDocumentName {
		return errors.NotValidf("name: length %d", len(g.Name))
	}
	if g.Held < 0 || g.Held > 0 && (g.Offset > 0 || g.Version > 0) {
		return errors.NotValidf("held %d with offset %d and version %d", g.Held, g.Offset, g.Version)
	}
	if g.Offset < 0 || g.Version < 0 {
		return errors.NotValidf("offset %d or version %d", g.Offset, g.Version)
	}
	return nil
}

// DocumentChunk is one chunk of a document compressed with DEFLATE. Offset and Total are in compressed bytes. A chunk
// with a Change has no data.
type DocumentChunk struct {
	Change  *DocumentChange `json:"change" msgpack:"change,omitempty"`
	Data    []byte          `json:"data" msgpack:"data"`
	Name    string          `json:"name" msgpack:"name"`
	Offset  int             `json:"offset" msgpack:"offset"`
	Total   int             `json:"total" msgpack:"total"`
	Version int64           `json:"version" msgpack:"version"`
}

// DocumentChange holds the patches that, applied in order, turn the content of version Base into that of Version. Sum is
// the SHA-256 of the resulting content.
type DocumentChange struct {
	Base    int64    `json:"base" msgpack:"base"`
	Patches [][]byte `json:"patches" msgpack:"patches"`
	Sum     []byte   `json:"sum" msgpack:"sum"`
	Version int64    `json:"version" msgpack:"version"`
}

// Validate implements Validator.Validate.
func (c DocumentChange) Validate() error {
	if c.Base <= 0 || c.Version <= c.Base {
		return errors.NotValidf("change from version %d to %d", c.Base, c.Version)
	}
	if len(c.Sum) != sha256.Size || len(c.Patches) == 0 {
		return errors.NotValidf("change with %d patches and a checksum of %d bytes", len(c.Patches), len(c.Sum))
	}
	return nil
}

// Validate implements Validator.Validate.
func (c DocumentChunk) Validate() error {
	if c.Change != nil {
		if c.Total != 0 || len(c.Data) > 0 {
			return errors.NotValidf("change together with %d bytes of data", c.Total)
		}
		if err := c.Change.Validate(); err != nil {
			return errors.Trace(err)
		}
	}
	if c.Total < 0 || c.Total > MaxDocumentBytes {
		return errors.NotValidf("total: %d bytes", c.Total)
	}
	if c.Offset < 0 || c.Offset+len(c.Data) > c.Total {
		return errors.NotValidf("offset: %d", c.Offset)
	}
	if len(c.Data) == 0 && c.Offset < c.Total {
		return errors.NotValidf("data: empty before the end")
	}
	return nil
}

// DocumentSource provides documents by name.
type DocumentSource interface {
	// Document returns the newest document with this name, or false if there is none.
	Document(name string) (Document, bool)
}

// DocumentSink accepts documents of a higher version than the one in force.
type DocumentSink interface {
	// Offer adopts the document and returns true, or returns false if its version is not higher.
	Offer(document Document) (bool, error)
}
