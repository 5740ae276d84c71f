package collator

import (
	"bytes"
	"slices"
)

// RecordSize is the size of one record in bytes; a shorter remainder at the end of a part is ignored.
const RecordSize = 16

// Top returns the limit greatest records of all parts in descending byte order, including duplicates.
func Top(parts [][]byte, limit int) []byte {
	total := 0
	for _, part := range parts {
		total += len(part) / RecordSize
	}
	records := make([][]byte, 0, total)
	for _, part := range parts {
		for len(part) >= RecordSize {
			records = append(records, part[:RecordSize])
			part = part[RecordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(records) > limit {
		records = records[:max(limit, 0)]
	}
	merged := make([]byte, 0, len(records)*RecordSize)
	for _, record := range records {
		merged = append(merged, record...)
	}
	return merged
}
