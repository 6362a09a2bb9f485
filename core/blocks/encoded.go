package blocks

import "ebonyrouter.dev/core"

// Encoded is the form of a map in the store; Parts holds the content of each part by its digest.
type Encoded struct {
	Index   Index
	Parts   map[string][]byte
	content []byte
	version string
}

// Settings returns the value that names the map in the settings.
func (e *Encoded) Settings() core.BlockSettings {
	return core.BlockSettings{Parts: len(e.Index.Parts), Version: e.version}
}
