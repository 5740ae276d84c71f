package accountant

const (
	// DefaultMemory applies to a process whose memory is not limited, in bytes.
	DefaultMemory = 1 << 30
	// DefaultDescriptors applies to a process whose descriptors are not limited.
	DefaultDescriptors = 4096
	// ReceiveBuffer is the size that is set for the operating system's buffer of an inbound connection, in bytes. It holds
	// unread bytes up to twice that.
	ReceiveBuffer = 16 << 10
	// AcceptQueue is the number of connections of one listener that wait to be accepted.
	AcceptQueue = 128
)

// Parts of a process's memory, each a divisor. docs/memory.md adds them up.
const (
	answersPart  = 16
	requestsPart = 4
	unreadPart   = 8
	backendsPart = 10
	// collectedPercent is the part above which garbage is collected at once. The rest is for the program itself and for bytes
	// that the operating system holds for the process.
	collectedPercent = 65
)

const (
	// reservedDescriptors are for files; all others are for sockets.
	reservedDescriptors = 200
	// unreadBytes are those that one inbound connection can have received and not read.
	unreadBytes = 2 * ReceiveBuffer
	// backendConnectionBytes is the heap that a connection to a backend server takes: its two buffers and its state.
	backendConnectionBytes = 18 << 10
	// minConnections keeps a process usable whose limits are too low for the shares.
	minConnections = 16
)

// Shares are the parts of a process's memory and descriptors.
type Shares struct {
	// Collected is the memory above which garbage is collected at once, in bytes.
	Collected int64
	// Answers is the memory of all answers of backend servers that are being received, in bytes.
	Answers int64
	// Requests is the memory of all requests: their heads, their bodies, their attempts and their copies, in bytes.
	Requests int64
	// Inbound is the number of connections of callers and other hosts, on all addresses together.
	Inbound int
	// Backends is the number of connections to backend servers.
	Backends int
}

// Divide returns the shares of a process with the given memory in bytes and descriptors; zero means the default.
func Divide(memory int64, descriptors int) Shares {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	// Half of the sockets are for inbound connections, three eighths for backend servers, and the rest for the store, other
	// hosts and listeners.
	sockets := max(descriptors-reservedDescriptors, 0)
	return Shares{
		Collected: memory / 100 * collectedPercent,
		Answers:   memory / answersPart,
		Requests:  memory / requestsPart,
		Inbound:   max(min(sockets/2, int(memory/unreadPart/unreadBytes)), minConnections),
		Backends:  max(min(sockets*3/8, int(memory/backendsPart/backendConnectionBytes)), minConnections),
	}
}
