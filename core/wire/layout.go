package wire

// layout describes the bytes of a msgpack element after its code: a length field of lengthBytes bytes, then fixedBytes bytes,
// then bytesPer bytes or childrenPer child elements for each unit of the length.
type layout struct {
	bytesPer    int
	childrenPer int
	fixedBytes  int
	lengthBytes int
}

// layouts holds the layouts of the codes 0xc4 to 0xdf in order; each comment follows the last layout of its type.
var layouts = [...]layout{
	{lengthBytes: 1, bytesPer: 1},
	{lengthBytes: 2, bytesPer: 1},
	{lengthBytes: 4, bytesPer: 1}, // bin
	{lengthBytes: 1, fixedBytes: 1, bytesPer: 1},
	{lengthBytes: 2, fixedBytes: 1, bytesPer: 1},
	{lengthBytes: 4, fixedBytes: 1, bytesPer: 1}, // ext
	{fixedBytes: 4},
	{fixedBytes: 8}, // float
	{fixedBytes: 1},
	{fixedBytes: 2},
	{fixedBytes: 4},
	{fixedBytes: 8}, // uint
	{fixedBytes: 1},
	{fixedBytes: 2},
	{fixedBytes: 4},
	{fixedBytes: 8}, // int
	{fixedBytes: 2},
	{fixedBytes: 3},
	{fixedBytes: 5},
	{fixedBytes: 9},
	{fixedBytes: 17}, // fixext
	{lengthBytes: 1, bytesPer: 1},
	{lengthBytes: 2, bytesPer: 1},
	{lengthBytes: 4, bytesPer: 1}, // str
	{lengthBytes: 2, childrenPer: 1},
	{lengthBytes: 4, childrenPer: 1}, // array
	{lengthBytes: 2, childrenPer: 2},
	{lengthBytes: 4, childrenPer: 2}, // map
}
