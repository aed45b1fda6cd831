package web

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"almondgrade/core/result"
)

// ResultBody is the body of a response that reports a result code.
type ResultBody struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Reason string      `json:"reason"`
}

// statusOverrides are the statuses of codes for which the range of the code doesn't determine the status.
//
//nolint:gochecknoglobals // The table is constant.
var statusOverrides = map[result.Code]int{
	result.OK:               http.StatusInternalServerError,
	result.Authentication:   http.StatusUnauthorized,
	result.PoolUnknown:      http.StatusNotFound,
	result.NotFound:         http.StatusNotFound,
	result.TooLarge:         http.StatusRequestEntityTooLarge,
	result.NotSupported:     http.StatusNotImplemented,
	result.ChangeInvalid:    http.StatusUnprocessableEntity,
	result.NumberNotCurrent: http.StatusConflict,
	result.NameClaimed:      http.StatusConflict,
}

// callerFaultRange is the code divided by 100 for the codes that report faults of the caller.
const callerFaultRange = 12

// Status returns the HTTP status for a result code. An error without a code is an internal error.
func Status(code result.Code) int {
	status, found := statusOverrides[code]

	switch {
	case found:
		return status
	case code/100 == callerFaultRange:
		return http.StatusBadRequest
	case code.Describe().Retryable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// WriteError writes an error as the response.
func WriteError(w http.ResponseWriter, err error) {
	failure := ResultBody{Code: result.CodeOf(err), Reason: err.Error()}

	if failure.Code != result.OK {
		failure.Name = failure.Code.Describe().Name
	}

	var coded *result.Error
	if errors.As(err, &coded) {
		failure.Reason = coded.Reason
	}

	if failure.Code == result.Authentication {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}

	WriteJSON(w, Status(failure.Code), failure)
}

// WriteJSON writes a value as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "the answer can't be written as JSON", http.StatusInternalServerError)

		return
	}

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// ReadBody reads a request's body. The error for a body over the limit carries result.TooLarge, the error for a body that
// ends early carries result.Protocol.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))

	var tooLarge *http.MaxBytesError

	switch {
	case errors.As(err, &tooLarge):
		return nil, result.New(result.TooLarge, "the body is longer than %d bytes", limit)
	case err != nil:
		return nil, result.New(result.Protocol, "read the body: %w", err)
	default:
		return data, nil
	}
}
