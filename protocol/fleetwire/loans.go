package fleetwire

import "encoding/binary"

// AppendConnectionRequest appends an encoded request to lend up to n connections to a
// backend server, the body of KindConnectionRequest, to dst. The answer is the number
// that is lent, see AppendNumber.
func AppendConnectionRequest(dst []byte, server string, n int) []byte {
	return binary.AppendUvarint(appendString(dst, server), uint64(n))
}

// maxConnectionRequest is larger than any number of connections that a VM asks for.
const maxConnectionRequest = 1 << 16

// DecodeConnectionRequest decodes the output of AppendConnectionRequest.
func DecodeConnectionRequest(b []byte) (server string, n int, err error) {
	d := decoder{b: b}
	server = d.string()
	wanted := d.uvarint()
	d.failed = d.failed || wanted > maxConnectionRequest
	return server, int(wanted), d.finish("connection request")
}
