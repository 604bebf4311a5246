package logclient

// Appended is the answer to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// Batch is a run of records that follow each other.
type Batch struct {
	// First is the lowest offset that the log still has.
	First uint64 `json:"first"`
	// From is the offset of the first record in Records.
	From uint64 `json:"from"`
	// Next is the offset that the next append gets.
	Next uint64 `json:"next"`
	// Records are the records from From on.
	Records [][]byte `json:"records"`
}

// Faults is what the log is told to do wrong.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMS delays every call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the share of appends, 0 to 1, that take effect and are then
	// answered with an error.
	LostResponseShare float64 `json:"lose_answers"`
}
