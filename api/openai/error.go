package openai

// ErrorType is the type field of an error response.
type ErrorType string

// Error types.
const (
	TypeInvalidRequest ErrorType = "invalid_request_error"
	TypeAuthentication ErrorType = "authentication_error"
	TypePermission     ErrorType = "permission_error"
	TypeNotFound       ErrorType = "not_found_error"
	TypeConflict       ErrorType = "conflict_error"
	TypeRateLimit      ErrorType = "rate_limit_error"
	TypeServer         ErrorType = "server_error"
	TypeOverloaded     ErrorType = "overloaded_error"
)

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string    `json:"message"`
	Type    ErrorType `json:"type"`
	Param   string    `json:"param,omitempty"`
	Code    string    `json:"code,omitempty"`
}

// ErrorAnswer is the body of every error response.
type ErrorAnswer struct {
	Error ErrorDetail `json:"error"`
}
