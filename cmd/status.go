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

// maxListedServers limits the servers in the text output so that the table of nodes above them stays on screen.
const maxListedServers = 20

func statusCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the status of nodes, services and backend servers",
		Description: `Asks one node for the list of members, then every member for its status. Prints the configuration revision in
force at each node, for each service the lowest number of shards with a server in service that any node reports,
and the states of the backend servers as reported by their owners.

Examples:
  yuccarock status --entry 192.0.2.10:8080
  yuccarock status --entry 192.0.2.10:8080 --json` + exitCodeHelp,
		Flags:  []cli.Flag{jsonFlag(), entryFlag()},
		Action: d.showStatus,
	}
}

func (d *Dependencies) showStatus(ctx context.Context, c *cli.Command) error {
	addresses, err := entryAddresses(c)
	if err != nil {
		return err
	}
	reports, err := d.readNodes(ctx, addresses)
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

// mergeServers returns one state for each server: the one its owner reports, or else the latest known to any node.
func mergeServers(reports []nodeReport) []broker.ServerState {
	merged := make(map[broker.ServerName]broker.ServerState)
	fromOwner := make(map[broker.ServerName]bool)
	for _, report := range reports {
		if report.Status == nil {
			continue
		}
		for _, state := range report.Status.Servers {
			byOwner := state.Owner == report.Node
			previous, ok := merged[state.Server]
			if !ok || byOwner || !fromOwner[state.Server] && state.Sequence > previous.Sequence {
				merged[state.Server] = state
				fromOwner[state.Server] = byOwner
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

// mergeCoverage returns for each service the lowest coverage that any node reports.
func mergeCoverage(reports []nodeReport) []broker.ServiceCoverage {
	var merged []broker.ServiceCoverage
	for _, report := range reports {
		if report.Status == nil {
			continue
		}
		for _, coverage := range report.Status.Coverage {
			index := slices.IndexFunc(merged, func(s broker.ServiceCoverage) bool { return s.Service == coverage.Service })
			if index < 0 {
				merged = append(merged, coverage)
			} else if coverage.ShardsAvailable < merged[index].ShardsAvailable {
				merged[index] = coverage
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
	for _, state := range others[:min(len(others), maxListedServers)] {
		write("%s\t%s\t%d\t%d\t%s", state.Server, state.Phase, state.Limit, state.InFlight, state.Owner)
	}
	if len(others) > maxListedServers {
		write("and %d more; --%s lists all", len(others)-maxListedServers, flagJSON)
	}
	return table.Flush()
}

// phasesBySeverity lists the phases that need an operator's attention first; warm needs none and is last.
var phasesBySeverity = []broker.Phase{broker.PhaseDown, broker.PhaseUnknown, broker.PhaseCold, broker.PhaseRamping,
	broker.PhaseDraining, broker.PhaseWarm}

// notWarm returns the servers that are not warm, the most severe phase first.
func notWarm(servers []broker.ServerState) []broker.ServerState {
	others := slices.DeleteFunc(slices.Clone(servers),
		func(s broker.ServerState) bool { return s.Phase == broker.PhaseWarm })
	slices.SortStableFunc(others, func(a, b broker.ServerState) int {
		return slices.Index(phasesBySeverity, a.Phase) - slices.Index(phasesBySeverity, b.Phase)
	})
	return others
}

func countPhases(servers []broker.ServerState) string {
	counts := make(map[broker.Phase]int)
	for _, state := range servers {
		counts[state.Phase]++
	}
	var parts []string
	for _, phase := range phasesBySeverity {
		if counts[phase] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[phase], phase))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
