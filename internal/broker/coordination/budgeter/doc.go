// Package budgeter limits hedges and retries to a share of base load with token budgets.
package budgeter
