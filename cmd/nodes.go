package cmd

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccarock/yuccarock/internal/broker"
)

const (
	nodeTimeout   = time.Second
	maxStatusSize = 16 << 20
)

// NodeReader reads the status of a node.
type NodeReader interface {
	// Status returns what the node at an entry address has in force.
	Status(ctx context.Context, entry netip.AddrPort) (broker.NodeStatus, error)
}

type httpNodes struct {
	client *http.Client
}

// Status reads GET /v1/status.
func (n *httpNodes) Status(ctx context.Context, entry netip.AddrPort) (broker.NodeStatus, error) {
	var status broker.NodeStatus
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.String()+"/v1/status", nil)
	if err != nil {
		return status, err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return status, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return status, errors.Errorf("the node answered with status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusSize)).Decode(&status)
	return status, errors.Wrap(err, "could not read node status")
}

// nodeReport is what was learned about one node.
type nodeReport struct {
	Node   broker.NodeID      `json:"node"`
	Zone   string             `json:"zone"`
	Entry  netip.AddrPort     `json:"entry"`
	Status *broker.NodeStatus `json:"status,omitempty"`
	Error  string             `json:"error,omitempty"`
}

// readNodes asks the nodes at the given addresses and then every other member that they name, by entry address: a
// restarted process answers in place of the one before it.
func (d *Dependencies) readNodes(ctx context.Context, given []netip.AddrPort) ([]nodeReport, error) {
	reports := d.readAll(ctx, given)
	var newest *broker.NodeStatus
	var failures []string
	for i := range reports {
		switch status := reports[i].Status; {
		case status == nil:
			failures = append(failures, fmt.Sprintf("%v: %s", reports[i].Entry, reports[i].Error))
		case newest == nil || status.Generation > newest.Generation:
			newest = status
		}
	}
	if newest == nil {
		return nil, &Error{Op: "read the nodes", Kind: KindFailed,
			Err: errors.Errorf("no node answered (%s)", strings.Join(failures, "; "))}
	}
	// An address that was given but does not answer is no fault if no member is there.
	reports = slices.DeleteFunc(reports, func(r nodeReport) bool {
		return r.Status == nil && memberAt(newest.Members, r.Entry) < 0
	})
	var others []netip.AddrPort
	for _, member := range newest.Members {
		if !slices.ContainsFunc(reports, func(r nodeReport) bool { return r.Entry == member.Entry }) {
			others = append(others, member.Entry)
		}
	}
	reports = append(reports, d.readAll(ctx, others)...)
	for i := range reports {
		report := &reports[i]
		if report.Status != nil {
			report.Node, report.Zone = report.Status.Node, report.Status.Zone
			continue
		}
		at := memberAt(newest.Members, report.Entry)
		report.Node, report.Zone = newest.Members[at].ID, newest.Members[at].Zone
	}
	slices.SortFunc(reports, func(a, b nodeReport) int { return cmp.Compare(a.Node, b.Node) })
	return reports, nil
}

// memberAt returns the index of the member with that entry address, or -1.
func memberAt(members []broker.Member, entry netip.AddrPort) int {
	return slices.IndexFunc(members, func(m broker.Member) bool { return m.Entry == entry })
}

func (d *Dependencies) readAll(ctx context.Context, addresses []netip.AddrPort) []nodeReport {
	addresses = slices.Clone(addresses)
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	addresses = slices.Compact(addresses)
	reports := make([]nodeReport, len(addresses))
	var readers sync.WaitGroup
	for i, address := range addresses {
		readers.Go(func() {
			reports[i].Entry = address
			status, err := d.Nodes.Status(ctx, address)
			if err != nil {
				reports[i].Error = err.Error()
				return
			}
			reports[i].Status = &status
		})
	}
	readers.Wait()
	return reports
}

// lacking names a node that does not have a revision in force.
type lacking struct {
	Node     broker.NodeID   `json:"node"`
	Revision broker.Revision `json:"revision,omitempty"` // zero where the node did not answer
}

// waitInForce returns nil as soon as every node has the revision or a later one in force.
func (d *Dependencies) waitInForce(ctx context.Context, given []netip.AddrPort, revision uint64,
	patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var missing []lacking
	cause := errors.New("no node was asked")
	for {
		reports, err := d.readNodes(ctx, given)
		// What the deadline cut off says nothing about the nodes.
		if ctx.Err() == nil || missing == nil && err == nil {
			missing, cause = lackingNodes(reports, revision), err
		}
		if err == nil && len(missing) == 0 {
			return nil
		}
		select {
		case <-time.After(d.Poll):
		case <-ctx.Done():
			return notInForce(revision, patience, missing, cause)
		}
	}
}

func lackingNodes(reports []nodeReport, revision uint64) []lacking {
	var missing []lacking
	for _, report := range reports {
		if report.Status == nil {
			missing = append(missing, lacking{Node: report.Node})
		} else if uint64(report.Status.Revision) < revision {
			missing = append(missing, lacking{Node: report.Node, Revision: report.Status.Revision})
		}
	}
	return missing
}

func notInForce(revision uint64, patience time.Duration, missing []lacking, cause error) error {
	failure := &Error{Op: fmt.Sprintf("see revision %d in force within %v", revision, patience), Kind: KindNotInForce,
		Details: map[string]any{"revision": revision, "lacking": missing}}
	var names []string
	for _, node := range missing {
		if node.Revision == 0 {
			names = append(names, fmt.Sprintf("%s (no answer)", node.Node))
		} else {
			names = append(names, fmt.Sprintf("%s (revision %d)", node.Node, node.Revision))
		}
	}
	if len(names) == 0 {
		failure.Err = errors.Wrap(cause, "it is accepted")
		return failure
	}
	failure.Err = errors.Errorf("it is accepted, but these nodes lack it: %s", strings.Join(names, ", "))
	return failure
}
