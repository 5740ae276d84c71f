package scatterer

// Drop is the reason why an answer was dropped.
type Drop uint8

// Reasons to drop an answer.
const (
	DropForeignRequest Drop = iota
	DropForeignShard
	DropForeignAttempt
	DropForeignServer
	DropForeignSnapshot
	DropForeignPartitioning
	DropDuplicate
	DropLate
	dropCount
)

// String returns the camel-case name used as a metrics label.
func (d Drop) String() string {
	return [dropCount]string{
		"foreignRequest", "foreignShard", "foreignAttempt", "foreignServer", "foreignSnapshot",
		"foreignPartitioning", "duplicate", "late",
	}[d]
}

// Stats holds the counters of one session.
type Stats struct {
	Sent          int // all attempts, including hedges, retries and canaries
	Hedges        int
	HedgeWins     int
	HedgesDenied  int // hedges denied by the budget when they were due
	Superseded    int // first attempts cancelled because their hedge was slow too
	Retries       int
	RetriesDenied int
	Cancels       int
	Canaries      int
	Crashes       int
	Reruns        int
	Withheld      int // servers passed over in a choice because of what they state about themselves
	Drops         [dropCount]int
}
