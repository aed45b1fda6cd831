package web

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"almondgrade/core/result"
)

// Failure is the body of an error.
type Failure struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Reason string      `json:"reason"`
}

// statuses are those of codes whose range alone doesn't give the status.
//
//nolint:gochecknoglobals // The table is constant.
var statuses = map[result.Code]int{
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

// callerRange is the hundreds of the codes for faults of the caller.
const callerRange = 12

// Status returns the HTTP status for a result code. An error without a code is an internal one.
func Status(code result.Code) int {
	status, found := statuses[code]

	switch {
	case found:
		return status
	case code/100 == callerRange:
		return http.StatusBadRequest
	case code.Describe().Retryable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// WriteError answers with an error.
func WriteError(w http.ResponseWriter, err error) {
	failure := Failure{Code: result.CodeOf(err), Reason: err.Error()}

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

// WriteJSON answers with a value as JSON.
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

// Body reads a request's body. The error of a body over the limit carries result.TooLarge, that of a body that
// ends early result.Protocol.
func Body(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
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
