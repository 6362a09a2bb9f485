package config

// Value is the effective value of one policy field and the path of its origin, or OriginDefault.
type Value struct {
	Field  string `json:"field"`
	Origin string `json:"origin"`
	Value  int64  `json:"value"`
}
