package forwarder

const (
	// budgetMargin is the part of the allowed further attempts that hosts use. The rest covers windows in which requests
	// of one host earn what another has spent.
	budgetMargin = 0.85
	// spareHosts are counted beside the hosts that serve callers, because one that takes over brings a budget of its own.
	spareHosts = 1
)

// retryShare returns the further attempts that each request earns.
func retryShare(settings Settings) float64 { return settings.RetryShare * budgetMargin }

// retryBurst returns this host's part of the slack.
func retryBurst(settings Settings, hosts int) int {
	hosts = max(hosts, minEntries) + spareHosts
	return max(1, int(float64(settings.RetrySlack)*budgetMargin)/hosts)
}
