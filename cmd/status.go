package cmd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// maxListed bounds the servers listed as text, so that the nodes above them stay in sight.
const maxListed = 20

func statusCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what every node has in force",
		Description: `Asks a node for the members and then each of them: revision in force, state of the backend servers as their
owners see them, and shards with a server in service, the least that any node sees.

Examples:
  yuccarock status --entry 192.0.2.10:8080
  yuccarock status --entry 192.0.2.10:8080 --json` + exitCodeHelp,
		Flags:  []cli.Flag{jsonFlag(), entryFlag()},
		Action: d.showStatus,
	}
}

func (d *Dependencies) showStatus(ctx context.Context, c *cli.Command) error {
	given, err := entries(c)
	if err != nil {
		return err
	}
	reports, err := d.readNodes(ctx, given)
	if err != nil {
		return err
	}
	servers, coverage := mergeServers(reports), mergeCoverage(reports)
	if c.Bool(flagJSON) {
		return writeJSON(output(c), struct {
			Nodes    []nodeReport             `json:"nodes"`
			Servers  []broker.ServerState     `json:"servers"`
			Coverage []broker.ServiceCoverage `json:"coverage"`
		}{reports, servers, coverage})
	}
	return writeStatus(output(c), reports, servers, coverage)
}

// mergeServers returns each server once, as its owner sees it, or else as some node last heard of it.
func mergeServers(reports []nodeReport) []broker.ServerState {
	merged := make(map[broker.ServerName]broker.ServerState)
	owned := make(map[broker.ServerName]bool)
	for _, report := range reports {
		if report.Status == nil {
			continue
		}
		for _, state := range report.Status.Servers {
			byOwner := state.Owner == report.Node
			known, ok := merged[state.Server]
			if !ok || byOwner || !owned[state.Server] && state.Sequence > known.Sequence {
				merged[state.Server] = state
				owned[state.Server] = byOwner
			}
		}
	}
	servers := make([]broker.ServerState, 0, len(merged))
	for _, state := range merged {
		servers = append(servers, state)
	}
	slices.SortFunc(servers, func(a, b broker.ServerState) int { return cmp.Compare(a.Server, b.Server) })
	return servers
}

// mergeCoverage returns for each service the least coverage that any node sees.
func mergeCoverage(reports []nodeReport) []broker.ServiceCoverage {
	var merged []broker.ServiceCoverage
	for _, report := range reports {
		if report.Status == nil {
			continue
		}
		for _, coverage := range report.Status.Coverage {
			at := slices.IndexFunc(merged, func(s broker.ServiceCoverage) bool { return s.Service == coverage.Service })
			if at < 0 {
				merged = append(merged, coverage)
			} else if coverage.ShardsAvailable < merged[at].ShardsAvailable {
				merged[at] = coverage
			}
		}
	}
	slices.SortFunc(merged, func(a, b broker.ServiceCoverage) int { return cmp.Compare(a.Service, b.Service) })
	return merged
}

func writeStatus(out io.Writer, reports []nodeReport, servers []broker.ServerState,
	coverage []broker.ServiceCoverage) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	write := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	write("NODE\tZONE\tENTRY\tSTATE\tREVISION\tGENERATION")
	for _, report := range reports {
		if status := report.Status; status != nil {
			write("%s\t%s\t%s\t%s\t%d\t%d", report.Node, report.Zone, report.Entry, status.State, status.Revision,
				status.Generation)
		} else {
			write("%s\t%s\t%s\tno answer\t-\t-", report.Node, report.Zone, report.Entry)
		}
	}
	write("\nSERVICE\tSHARDS\tAVAILABLE")
	for _, service := range coverage {
		write("%s\t%d\t%d", service.Service, service.ShardsTotal, service.ShardsAvailable)
	}
	write("\nSERVERS\t%s", countPhases(servers))
	others := notWarm(servers)
	if len(others) > 0 {
		write("\nSERVER\tPHASE\tLIMIT\tIN FLIGHT\tOWNER")
	}
	for _, state := range others[:min(len(others), maxListed)] {
		write("%s\t%s\t%d\t%d\t%s", state.Server, state.Phase, state.Limit, state.InFlight, state.Owner)
	}
	if len(others) > maxListed {
		write("and %d more; --%s lists all", len(others)-maxListed, flagJSON)
	}
	return table.Flush()
}

// phases are in the order in which they matter to an operator, warm last.
var phases = []broker.Phase{broker.PhaseDown, broker.PhaseUnknown, broker.PhaseCold, broker.PhaseRamping,
	broker.PhaseDraining, broker.PhaseWarm}

// notWarm returns the servers that are not warm, the gravest phase first.
func notWarm(servers []broker.ServerState) []broker.ServerState {
	others := slices.DeleteFunc(slices.Clone(servers),
		func(s broker.ServerState) bool { return s.Phase == broker.PhaseWarm })
	slices.SortStableFunc(others, func(a, b broker.ServerState) int {
		return slices.Index(phases, a.Phase) - slices.Index(phases, b.Phase)
	})
	return others
}

func countPhases(servers []broker.ServerState) string {
	counts := make(map[broker.Phase]int)
	for _, state := range servers {
		counts[state.Phase]++
	}
	var parts []string
	for _, phase := range phases {
		if counts[phase] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[phase], phase))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
