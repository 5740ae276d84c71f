package forwarder

import (
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccarock/yuccarock/internal/broker/state/registrar"
)

// TestBudgetByRole guards against hosts that keep their part of the slack while another host serves callers in their place, and
// against a host that cannot send the requests in progress again during its planned stop.
func TestBudgetByRole(t *testing.T) {
	tests := []struct {
		name  string
		roles []registrar.Role
		stop  bool // before the last role
		want  float64
	}{
		{name: "serves callers", roles: []registrar.Role{registrar.RoleServing}, want: 3},
		{name: "in standby from the start", roles: []registrar.Role{registrar.RoleStandby}},
		{name: "serves callers after a time in standby", roles: []registrar.Role{registrar.RoleStandby, registrar.RoleServing}, want: 3},
		{name: "serves callers no more", roles: []registrar.Role{registrar.RoleServing, registrar.RoleStandby}},
		{name: "only delegations left", roles: []registrar.Role{registrar.RoleServing, registrar.RoleDelegate}},
		{name: "planned stop", roles: []registrar.Role{registrar.RoleServing, registrar.RoleStandby}, stop: true, want: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := New(Dependencies{
				Settings: Settings{Node: "self", FirstStart: true, RetryShare: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second},
				Probe:    (&silentHosts{}).check, Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
			})
			if err := f.drainer.Serve(); err != nil {
				t.Fatal(err)
			}
			budget := f.budgets.Shard("s1")
			for i, role := range tt.roles {
				if tt.stop && i == len(tt.roles)-1 {
					if err := f.drainer.Leave(); err != nil {
						t.Fatal(err)
					}
				}
				f.updateBudgets(role, 6)
			}
			if got := budget.Tokens(); got != tt.want {
				t.Errorf("tokens: got %v, want %v", got, tt.want)
			}
		})
	}
}
