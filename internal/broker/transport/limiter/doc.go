// Package limiter keeps inbound HTTP connections and the requests on them within the account of the process.
package limiter
