package core

// LoadReport is a hint about the free capacity of one entry process; it grants no slots. LoadReport and ServiceLoad are
// encoded as arrays, because with field names a report to 16 neighbours took 2.4 to 3.4 kB.
type LoadReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Host     string                 `json:"host" msgpack:"host"`
	Region   string                 `json:"region" msgpack:"region"`
	Sequence int64                  `json:"sequence" msgpack:"sequence"`
	Services map[string]ServiceLoad `json:"services" msgpack:"services"`
	Zone     string                 `json:"zone" msgpack:"zone"`
}

// ServiceLoad is the load of the targets of one service that an entry process owns.
type ServiceLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	FreeSlots int   `json:"free_slots" msgpack:"free_slots"`
	Queued    int   `json:"queued" msgpack:"queued"`
	Slots     int   `json:"slots" msgpack:"slots"`
	WaitMs    int64 `json:"wait_ms" msgpack:"wait_ms"`
}
