// Package leaser decides which member of a cell may dispatch to which backend server. It is the pure core of
// one member: events and a time go in, actions come out.
//
// A member dispatches only while a majority of its generation has granted it the lease. The rules that keep
// two members from dispatching to one server at the same time:
//
//   - A grant counts from the send time of the heartbeat that it answers, on the receiver's own clock.
//   - A member grants only a sender of its own generation and exclusion set that it does not exclude.
//     Exclusions only grow within a generation, and those of members that stay are carried into the next one.
//   - A member that becomes owner by exclusion waits, for each excluded member before it in the rank order,
//     until a majority has reported that exclusion and then for the lease plus the clock margin.
//   - After a generation change it waits in the same way, counted from the time at which a majority of each
//     earlier generation that may still be in use has reported the new generation.
//   - A member that held a key when it entered a generation keeps it without a wait, on the grants of the
//     previous generation until they expire, if it went through every generation in order.
//   - A member that has reported its own exclusion has stopped, which ends the wait for it.
//   - A release by the holder replaces the wait for this holder, not the wait for other excluded members.
package leaser
