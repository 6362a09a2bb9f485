package wire

// form describes the layout of a msgpack element behind its code.
type form struct {
	bytesPer    int
	childrenPer int
	fixedBytes  int
	lengthBytes int
}

// forms lists the codes 0xc4 to 0xdf in order.
var forms = [...]form{
	{lengthBytes: 1, bytesPer: 1},
	{lengthBytes: 2, bytesPer: 1},
	{lengthBytes: 4, bytesPer: 1}, // bin
	{lengthBytes: 1, fixedBytes: 1, bytesPer: 1},
	{lengthBytes: 2, fixedBytes: 1, bytesPer: 1}, // ext
	{lengthBytes: 4, fixedBytes: 1, bytesPer: 1},
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
