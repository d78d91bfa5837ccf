package settings

// ListenError says that an endpoint of the settings cannot be opened.
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
