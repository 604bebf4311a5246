package logclient

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// Batch holds consecutive records of a stream.
type Batch struct {
	// First is the lowest offset that the log retains.
	First uint64 `json:"first"`
	// From is the offset of the first record in Records.
	From uint64 `json:"from"`
	// Next is the offset of the next append.
	Next uint64 `json:"next"`
	// Records are the records from From on.
	Records [][]byte `json:"records"`
}

// Faults are the faults that a simulated log injects.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// DelayMS delays every call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LostResponseShare is the share of appends, 0 to 1, that take effect but return an
	// error.
	LostResponseShare float64 `json:"lose_answers"`
}
