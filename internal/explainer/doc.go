// Package explainer reads the request lines in the logs of hosts and states for each request that earned less than its
// full worth one cause, and how much worth each cause took.
package explainer
