// Package leaser decides which member of a cell may dispatch to which backend server. Core is the state machine
// of one member: it takes events with a time, returns actions and performs no I/O.
//
// A member dispatches only while a majority of its generation has granted it the lease. These rules keep two
// members from dispatching to one server at the same time:
//
//   - A grant counts from the send time of the heartbeat that it answers, on the clock of the lease holder.
//   - A member grants only a sender of its own generation and exclusion set that it does not exclude.
//     Exclusions are never withdrawn within a generation. Those of members that stay are carried into the next one.
//   - A member that becomes owner by exclusion waits, for each excluded member before it in the rank order,
//     until a majority has reported that exclusion and then for the lease plus the clock margin.
//   - After a generation change it waits for the same time, counted from the moment at which a majority of each
//     earlier generation that may still be in use has reported the new generation.
//   - A member that held a key when it entered a generation keeps it without a wait if it has not skipped a
//     generation. It relies on the grants of the previous generation until they expire.
//   - A member that has reported its own exclusion no longer dispatches, which ends the wait for it.
//   - A release by the holder replaces the wait for this holder, not the wait for other excluded members.
package leaser
