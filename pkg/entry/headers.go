package entry

// Headers between callers, boxes and backend servers. docs/callers.md
// explains those that callers use.
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

// AttemptFirst is the value of HeaderAttempt by which a caller vouches that no
// request with this key can have run before.
const AttemptFirst = "first"

// Hop says in which role a box handed a request to this one.
type Hop string

// The hops.
const (
	// HopNone: the request comes from a caller.
	HopNone Hop = ""
	// HopOwner: this box owns the request's key.
	HopOwner Hop = "owner"
	// HopZone: this box is to admit the request to its own zone's backend
	// servers and to hand it no further.
	HopZone Hop = "zone"
)

// hopByHop lists headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}
