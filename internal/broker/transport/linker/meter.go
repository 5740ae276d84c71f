package linker

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker/protocol/encoder"
)

type direction int

const (
	incoming direction = iota
	outgoing
	directionCount
)

var directionNames = [directionCount]string{"in", "out"}

// Reasons for dropped messages other than the error kinds of Send.
const (
	dropLinkDown  ErrorKind = "linkDown"
	dropMalformed ErrorKind = "malformed"
	dropReplaced  ErrorKind = "replaced"
)

// meter holds the metrics of a linker.
type meter struct {
	set               *metrics.Set
	messages          [directionCount][encoder.KindCount]*metrics.Counter
	bytes             [directionCount][encoder.KindCount]*metrics.Counter
	batches           [directionCount]*metrics.Counter
	linkUps           *metrics.Counter
	linkDowns         *metrics.Counter
	links             *metrics.Gauge
	handshakeFailures [directionCount]*metrics.Counter
}

func newMeter(set *metrics.Set) *meter {
	m := &meter{
		set:       set,
		linkUps:   set.GetOrCreateCounter("yuccarock_peer_link_ups_total"),
		linkDowns: set.GetOrCreateCounter("yuccarock_peer_link_downs_total"),
		links:     set.GetOrCreateGauge("yuccarock_peer_links", nil),
	}
	for d, name := range directionNames {
		label := fmt.Sprintf("direction=%q", name)
		m.batches[d] = set.GetOrCreateCounter("yuccarock_peer_batches_total{" + label + "}")
		m.handshakeFailures[d] = set.GetOrCreateCounter("yuccarock_peer_handshake_failures_total{" + label + "}")
		for kind := range encoder.KindCount {
			labels := fmt.Sprintf("{%s,kind=%q}", label, kind)
			m.messages[d][kind] = set.GetOrCreateCounter("yuccarock_peer_messages_total" + labels)
			m.bytes[d][kind] = set.GetOrCreateCounter("yuccarock_peer_bytes_total" + labels)
		}
	}
	return m
}

func (m *meter) countMessage(d direction, kind encoder.Kind, size int) {
	m.messages[d][kind].Inc()
	m.bytes[d][kind].Add(size)
}

func (m *meter) countDrops(reason ErrorKind, count int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("yuccarock_peer_drops_total{reason=%q}", reason)).Add(count)
}
