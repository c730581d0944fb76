// Package httphead checks the heads of HTTP responses for what package http accepts though it is malformed.
package httphead

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedName reports a response whose head has a field with a malformed name.
var ErrMalformedName = errors.New("malformed name of a field")

// ErrImpossibleStatus reports a response whose status HTTP does not have, or that only comes before a response.
var ErrImpossibleStatus = errors.New("impossible status")

// maxStatus is the largest status (RFC 9110, section 15).
const maxStatus = 599

// CheckNames returns ErrMalformedName unless the names of all fields are tokens (RFC 9112, section 5.1). Package
// http accepts blanks in them: a length or an encoding behind such a name is not applied to the body.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %.32q", ErrMalformedName, name)
		}
	}
	return nil
}

// checkStatus returns ErrImpossibleStatus unless a status is that of a final response.
func checkStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w: %d", ErrImpossibleStatus, status)
	}
	return nil
}

// Transport is an http.Transport that fails the requests whose responses have malformed names or impossible
// statuses.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(checkStatus(response.StatusCode), CheckNames(response.Header)); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
