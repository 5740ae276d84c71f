package forwarder

import (
	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/broker/coordination/collator"
)

// mergedParts are the parts of several shards with their records merged by another host.
type mergedParts struct {
	shards     []broker.ShardName
	signatures []string
	records    []byte
}

// partSet holds the parts of the answer to a scatter, at most one for each shard.
type partSet struct {
	single map[broker.ShardName]*broker.OpaqueAnswer
	merged []*mergedParts
	// inMerged are the shards of all merged parts.
	inMerged map[broker.ShardName]bool
}

// add adds the part of a shard unless the set has one.
func (p *partSet) add(shard broker.ShardName, part *broker.OpaqueAnswer) {
	if p.inMerged[shard] || p.single[shard] != nil {
		return
	}
	if p.single == nil {
		p.single = make(map[broker.ShardName]*broker.OpaqueAnswer)
	}
	p.single[shard] = part
}

// addMerged adds merged parts. They replace single parts of the same shards, because the records of merged parts cannot
// be separated; a shard is in the merged parts of one message only.
func (p *partSet) addMerged(merged *mergedParts) {
	if p.inMerged == nil {
		p.inMerged = make(map[broker.ShardName]bool)
	}
	for _, shard := range merged.shards {
		delete(p.single, shard)
		p.inMerged[shard] = true
	}
	p.merged = append(p.merged, merged)
}

func (p *partSet) len() int { return len(p.single) + len(p.inMerged) }

// top returns the limit greatest records of all parts and the signatures of the parts.
func (p *partSet) top(limit int) (records []byte, signatures []string) {
	bodies := make([][]byte, 0, len(p.single)+len(p.merged))
	signatures = make([]string, 0, p.len())
	for _, part := range p.single {
		bodies, signatures = append(bodies, part.Body), append(signatures, part.Signature)
	}
	for _, merged := range p.merged {
		bodies, signatures = append(bodies, merged.records), append(signatures, merged.signatures...)
	}
	return collator.Top(bodies, limit), signatures
}
