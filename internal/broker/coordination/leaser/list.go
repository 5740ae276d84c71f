package leaser

import (
	"slices"
	"strings"

	"github.com/yuccarock/yuccarock/internal/broker"
)

// NextMembership returns the member list that follows base, or nil if neither the members nor the earlier generations
// would change. Confirmed means that the writer knows that all generations before base have ended.
func NextMembership(base broker.Membership, members []broker.Member, confirmed bool) *broker.Membership {
	slices.SortFunc(members, func(a, b broker.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if slices.Equal(members, base.Members) && (!confirmed || len(base.Earlier) == 0) {
		return nil
	}
	next := &broker.Membership{
		Members: members, Previous: base.Members, PreviousGeneration: base.Generation,
	}
	if !confirmed && base.Generation != 0 {
		next.Earlier = slices.Clone(base.Earlier)
		if base.PreviousGeneration != 0 {
			next.Earlier = append(next.Earlier, broker.PastMembers{
				Generation: base.PreviousGeneration, Members: base.Previous,
			})
		}
	}
	return next
}
