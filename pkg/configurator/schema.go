package configurator

import _ "embed" // schema.json

//go:embed schema.json
var schema []byte

// Schema returns the JSON Schema of the configuration, which states the structural rules of Parse.
func Schema() []byte {
	return append([]byte(nil), schema...)
}
