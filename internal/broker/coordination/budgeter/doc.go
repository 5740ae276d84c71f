// Package budgeter limits hedges and retries to a share of base load by token budgets.
package budgeter
