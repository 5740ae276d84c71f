package scatterer

// Drop is why an answer was not used.
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
	drops
)

// String returns the camel-case name used as a metrics label.
func (d Drop) String() string {
	return [drops]string{
		"foreignRequest", "foreignShard", "foreignAttempt", "foreignServer", "foreignSnapshot",
		"foreignPartitioning", "duplicate", "late",
	}[d]
}

// Stats counts what one session did.
type Stats struct {
	Sent          int // attempts of every sort
	Hedges        int
	HedgeWins     int
	HedgesDenied  int // hedges that the budget did not allow when they were due
	Superseded    int // first attempts cancelled because their hedge was slow too
	Retries       int
	RetriesDenied int
	Cancels       int
	Canaries      int
	Crashes       int
	Reruns        int
	Drops         [drops]int
}
