package dbgroup

import "fmt"

// SQLSTATE codes that the servers give.
const (
	codeProtocol       = "08P01"
	codeNotSupported   = "0A000"
	codeInvalidSetting = "22023"
	codeDuplicateKey   = "23505"
	codeActiveTx       = "25001"
	codeReadOnly       = "25006"
	codeFailedTx       = "25P02"
	codeNoStatement    = "26000"
	codePassword       = "28P01"
	codeNoPortal       = "34000"
	codeRolledBack     = "40001"
	codeSyntax         = "42601"
	codeUnknownSetting = "42704"
	codeDuplicateName  = "42P05"
	codeNoParameter    = "42P02"
	codeConnections    = "53300"
	codeCancelled      = "57014"
)

// sqlError is an error that is reported to the client.
type sqlError struct {
	code    string
	message string
	fatal   bool // the connection is closed after it
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
