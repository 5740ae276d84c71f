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
	nodeStatusTimeout = time.Second
	maxStatusSize     = 16 << 20
)

// NodeReader reads the status of a node.
type NodeReader interface {
	// Status returns the status of the node at an entry address.
	Status(ctx context.Context, entry netip.AddrPort) (broker.NodeStatus, error)
}

type httpNodeReader struct {
	client *http.Client
}

// Status reads GET /v1/status.
func (n *httpNodeReader) Status(ctx context.Context, entry netip.AddrPort) (broker.NodeStatus, error) {
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

// nodeReport is the status of one node, or the error of reading it.
type nodeReport struct {
	Node   broker.NodeID      `json:"node"`
	Zone   string             `json:"zone"`
	Entry  netip.AddrPort     `json:"entry"`
	Status *broker.NodeStatus `json:"status,omitempty"`
	Error  string             `json:"error,omitempty"`
}

// readNodes reads the status of the nodes at the addresses and of every other member in the newest member list. It
// matches nodes to members by entry address, as a restarted process answers there under a new node ID.
func (d *Dependencies) readNodes(ctx context.Context, addresses []netip.AddrPort) ([]nodeReport, error) {
	reports := d.readStatuses(ctx, addresses)
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
	// An address on the command line that does not answer and belongs to no member is not an error.
	reports = slices.DeleteFunc(reports, func(r nodeReport) bool {
		return r.Status == nil && memberIndex(newest.Members, r.Entry) < 0
	})
	var others []netip.AddrPort
	for _, member := range newest.Members {
		if !slices.ContainsFunc(reports, func(r nodeReport) bool { return r.Entry == member.Entry }) {
			others = append(others, member.Entry)
		}
	}
	reports = append(reports, d.readStatuses(ctx, others)...)
	for i := range reports {
		report := &reports[i]
		if report.Status != nil {
			report.Node, report.Zone = report.Status.Node, report.Status.Zone
			continue
		}
		index := memberIndex(newest.Members, report.Entry)
		report.Node, report.Zone = newest.Members[index].ID, newest.Members[index].Zone
	}
	slices.SortFunc(reports, func(a, b nodeReport) int { return cmp.Compare(a.Node, b.Node) })
	return reports, nil
}

// memberIndex returns the index of the member with the entry address, or -1.
func memberIndex(members []broker.Member, entry netip.AddrPort) int {
	return slices.IndexFunc(members, func(m broker.Member) bool { return m.Entry == entry })
}

func (d *Dependencies) readStatuses(ctx context.Context, addresses []netip.AddrPort) []nodeReport {
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

// laggingNode is a node that does not have an awaited revision in force.
type laggingNode struct {
	Node     broker.NodeID   `json:"node"`
	Revision broker.Revision `json:"revision,omitempty"` // zero if the node did not answer
}

// waitUntilInForce returns nil as soon as every node has the revision or a later one in force, and an Error of
// KindNotInForce at the timeout.
func (d *Dependencies) waitUntilInForce(ctx context.Context, addresses []netip.AddrPort, revision uint64,
	timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var lagging []laggingNode
	cause := errors.New("no node was asked")
	for {
		reports, err := d.readNodes(ctx, addresses)
		// A read that the timeout interrupted says nothing about the nodes.
		if ctx.Err() == nil || lagging == nil && err == nil {
			lagging, cause = laggingNodes(reports, revision), err
		}
		if err == nil && len(lagging) == 0 {
			return nil
		}
		select {
		case <-time.After(d.PollInterval):
		case <-ctx.Done():
			return notInForceError(revision, timeout, lagging, cause)
		}
	}
}

func laggingNodes(reports []nodeReport, revision uint64) []laggingNode {
	var lagging []laggingNode
	for _, report := range reports {
		if report.Status == nil {
			lagging = append(lagging, laggingNode{Node: report.Node})
		} else if uint64(report.Status.Revision) < revision {
			lagging = append(lagging, laggingNode{Node: report.Node, Revision: report.Status.Revision})
		}
	}
	return lagging
}

func notInForceError(revision uint64, timeout time.Duration, lagging []laggingNode, cause error) error {
	failure := &Error{Op: fmt.Sprintf("see revision %d in force within %v", revision, timeout), Kind: KindNotInForce,
		Details: map[string]any{"revision": revision, "lacking": lagging}}
	var names []string
	for _, node := range lagging {
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
