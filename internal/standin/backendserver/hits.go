package backendserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// Hits returns the hits of every stand-in for a body, a shard and a snapshot, best first. Equal JSON values give equal
// hits; limit zero gives 10 hits.
func Hits(snapshot broker.Snapshot, shard broker.ShardName, body []byte, limit int) []broker.Hit {
	if limit <= 0 {
		limit = defaultHits
	}
	limit = min(limit, maxHits)
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%d/%s/", snapshot, shard)
	_, _ = digest.Write(normalize(body))
	seed := digest.Sum64()
	fields := json.RawMessage(`{"snapshot":` + strconv.FormatUint(uint64(snapshot), 10) + `}`)
	hits := make([]broker.Hit, 0, limit)
	for i := range limit {
		// The fraction is less than 1, the difference between two ranks, so the scores of a shard strictly decrease.
		score := float64(maxHits-i) + float64((seed>>(i%32))&1023)/1024
		hits = append(hits, broker.Hit{
			ID:    fmt.Sprintf("%s-%016x-%d", shard, seed, i),
			Score: score / (maxHits + 1),
			Shard: shard, Fields: fields,
		})
	}
	return hits
}

// normalize removes differences between encoders: white space, escapes and member order.
func normalize(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return body
	}
	if value == nil {
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		return body
	}
	return data
}
