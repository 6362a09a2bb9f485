package config

// Value is the effective value of one policy field. Origin is the path of the level that sets it, or OriginDefault.
type Value struct {
	Field  string `json:"field"`
	Origin string `json:"origin"`
	Value  int64  `json:"value"`
}
