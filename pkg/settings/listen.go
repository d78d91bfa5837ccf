package settings

// ListenError reports that the box cannot listen on an address of its settings.
type ListenError struct {
	Port    string
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "listen." + e.Port + ": " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
