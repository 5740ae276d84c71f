// Package messenger carries delegations between hosts over HTTP/1.1; results are sent back as a sequence of CBOR messages.
package messenger
