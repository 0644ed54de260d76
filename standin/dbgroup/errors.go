package dbgroup

import "fmt"

// SQLSTATE codes of errors and warnings that the servers send.
const (
	codeProtocolViolation    = "08P01"
	codeNotSupported         = "0A000"
	codeInvalidSetting       = "22023"
	codeDuplicateKey         = "23505"
	codeActiveTransaction    = "25001"
	codeReadOnly             = "25006"
	codeFailedTransaction    = "25P02"
	codeUndefinedStatement   = "26000"
	codeInvalidPassword      = "28P01"
	codeUndefinedPortal      = "34000"
	codeSerializationFailure = "40001"
	codeSyntaxError          = "42601"
	codeUndefinedSetting     = "42704"
	codeDuplicateStatement   = "42P05"
	codeUndefinedParameter   = "42P02"
	codeTooManyConnections   = "53300"
	codeCancelled            = "57014"
)

// sqlError is an error that is sent to the client as ErrorResponse.
type sqlError struct {
	code    string
	message string
	fatal   bool // the connection is closed after the error is sent
}

func errorf(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

func fatalf(code, format string, args ...any) *sqlError {
	e := errorf(code, format, args...)
	e.fatal = true
	return e
}

func duplicateKey(key string) *sqlError {
	return errorf(codeDuplicateKey, "duplicate key value violates unique constraint: key %q exists", key)
}
