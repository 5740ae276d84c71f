package loader

import (
	"net/netip"
	"time"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// TLS names the PEM files for peer links; they are read again for each handshake, so that changes take effect.
type TLS struct {
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Exporter selects the destination of traces.
type Exporter string

// Trace exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

// Trace configures tracing.
type Trace struct {
	Exporter Exporter `json:"exporter"`
	Endpoint string   `json:"endpoint,omitempty"` // URL of the OTLP receiver
	Sample   float64  `json:"sample"`             // share of queries, 0 to 1
}

// Limits bound the resources that callers can use on the node.
type Limits struct {
	MaxBody       int64                 `json:"maxBody"`       // bytes
	MaxConcurrent int                   `json:"maxConcurrent"` // queries in progress
	MaxQueryTime  configurator.Duration `json:"maxQueryTime"`
}

// Settings are the settings of one daemon.
type Settings struct {
	Node  string         `json:"node"`
	Zone  string         `json:"zone"`
	Cell  string         `json:"cell"`
	Entry netip.AddrPort `json:"entry"` // TCP address for callers and operators
	Peer  netip.AddrPort `json:"peer"`  // UDP address of the peer link
	// Seeds are peer addresses by node name; if the store is down at the start, these nodes are asked for the
	// configuration and the members.
	Seeds        map[string]netip.AddrPort `json:"seeds,omitempty"`
	Store        string                    `json:"store"` // base URL of the platform's store
	TLS          TLS                       `json:"tls"`
	StopDeadline configurator.Duration     `json:"stopDeadline"` // maximum duration of a planned stop
	LogLevel     string                    `json:"logLevel"`
	Trace        Trace                     `json:"trace"`
	Limits       Limits                    `json:"limits"`
}

// Defaults returns the settings used for fields that the file does not set.
func Defaults() Settings {
	return Settings{
		Cell:         "main",
		StopDeadline: configurator.Duration(30 * time.Second),
		LogLevel:     "info",
		Trace:        Trace{Exporter: ExporterNone, Sample: 0.01},
		Limits: Limits{
			MaxBody:       1 << 20,
			MaxConcurrent: 4096,
			MaxQueryTime:  configurator.Duration(30 * time.Second),
		},
	}
}
