package messenger

import "github.com/fxamacker/cbor/v2"

const (
	maxNesting       = 8
	maxArrayElements = 16 << 10
	maxMapPairs      = 1 << 10
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: maxNesting, MaxArrayElements: maxArrayElements,
		MaxMapPairs: maxMapPairs, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
