package owner

import "ebonyrouter.dev/core"

// cachedDocument is a document with the version of its stored object; version 0 means that there is no document. This is
// not the version under which processes exchange the document, which is its epoch.
type cachedDocument struct {
	document core.Ownership
	version  int64
}
