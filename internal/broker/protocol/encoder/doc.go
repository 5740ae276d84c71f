// Package encoder encodes peer messages into frames and decodes them.
//
// A frame is a 4-byte big-endian length followed by a CBOR array of messages with integer keys. The array
// header always takes three bytes, so that messages can be appended before their number is known.
package encoder
