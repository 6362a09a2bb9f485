package blocks

import "ebonyrouter.dev/core"

// Encoded is a map in its store format; Parts holds the content of each part by digest. Map.Encode returns it.
type Encoded struct {
	Index        Index
	Parts        map[string][]byte
	indexContent []byte
	version      string
}

// Settings returns the reference to the map that a settings revision contains.
func (e *Encoded) Settings() core.BlockSettings {
	return core.BlockSettings{Parts: len(e.Index.Parts), Version: e.version}
}
