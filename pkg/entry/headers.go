package entry

// Headers between callers, boxes and backend servers. docs/callers.md describes
// those that callers use.
const (
	HeaderRequestID   = "Stoneworks-Request-Id"
	HeaderDeadline    = "Stoneworks-Deadline-Ms"
	HeaderClient      = "Stoneworks-Client"
	HeaderAttempt     = "Stoneworks-Attempt"
	HeaderKey         = "Idempotency-Key"
	HeaderOutcome     = "Stoneworks-Outcome"
	HeaderReason      = "Stoneworks-Reason"
	HeaderRetryMS     = "Stoneworks-Retry-After-Ms"
	HeaderServer      = "Stoneworks-Backend-Server"
	HeaderBox         = "Stoneworks-Box"
	HeaderZone        = "Stoneworks-Zone"
	HeaderHop         = "Stoneworks-Hop"
	HeaderLeaving     = "Stoneworks-Leaving"
	headerPrefix      = "Stoneworks-"
	headerRetryAfter  = "Retry-After"
	maxRequestIDBytes = 128
)

// AttemptFirst is the value of HeaderAttempt by which a caller states that no
// request with this key can have run before.
const AttemptFirst = "first"

// Hop tells a box why another box forwarded a request to it.
type Hop string

// Values of Hop.
const (
	// HopNone means that the request comes from a caller.
	HopNone Hop = ""
	// HopOwner means that the receiving box owns the request's key.
	HopOwner Hop = "owner"
	// HopZone means that the receiving box sends the request to a backend server
	// that it has slots of, and does not forward it.
	HopZone Hop = "zone"
)

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}
