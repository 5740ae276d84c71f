package configurator

import _ "embed" // schema.json

//go:embed schema.json
var schema []byte

// Schema returns the JSON Schema of the configuration, which rejects the inputs that Parse rejects with KindStructure.
func Schema() []byte {
	return append([]byte(nil), schema...)
}
