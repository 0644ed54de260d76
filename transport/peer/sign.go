// Package peer transports messages between VMs over HTTP. Its client and server
// authenticate each message with a MAC keyed with the fleet's shared secret.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// macHeader is the header that authenticates a message: "TIMESTAMP MAC" in a
// request, with the Unix time in milliseconds, and "MAC" in a response. The name
// is short because a VM sends it 40 times a second.
const macHeader = "Mac"

// macSize is the length in bytes to which MACs are truncated. RFC 2104 allows
// half of the hash; full MACs would add 1.3 KB a second on a VM with many voters.
const macSize = sha256.Size / 2

// signer computes the message authentication codes.
type signer struct {
	secret []byte
}

// requestMAC returns the MAC of a request. The body names the sender.
func (s signer) requestMAC(path, receiver string, timestamp int64, body []byte) []byte {
	return s.mac([]byte("request"), []byte(path), []byte(receiver), strconv.AppendInt(nil, timestamp, 10), body)
}

// responseMAC returns the MAC of a response. It covers the MAC of the request, so
// that the response to an earlier request is not accepted.
func (s signer) responseMAC(requestMAC []byte, sender string, body []byte) []byte {
	return s.mac([]byte("answer"), requestMAC, []byte(sender), body)
}

// mac returns the MAC of the parts. Each part is preceded by its length, so that
// different lists of parts do not have the same MAC.
func (s signer) mac(parts ...[]byte) []byte {
	h := hmac.New(sha256.New, s.secret)
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return h.Sum(nil)[:macSize]
}

func formatMAC(mac []byte) string { return base64.RawStdEncoding.EncodeToString(mac) }

func parseMAC(text string) ([]byte, error) {
	mac, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(mac) != macSize {
		return nil, eris.New("malformed message authentication code")
	}
	return mac, nil
}

func formatAuthHeader(timestamp int64, mac []byte) string {
	return strconv.FormatInt(timestamp, 10) + " " + formatMAC(mac)
}

func parseAuthHeader(text string) (timestamp int64, mac []byte, err error) {
	timestampText, macText, _ := strings.Cut(text, " ")
	timestamp, err = strconv.ParseInt(timestampText, 10, 64)
	if err != nil {
		return 0, nil, eris.New("malformed timestamp")
	}
	mac, err = parseMAC(macText)
	return timestamp, mac, err
}

// withinWindow reports whether a message with the timestamp is acceptable at the
// time now. Messages from before this process started are refused, because an
// earlier process of this VM may already have received them.
func withinWindow(timestamp int64, started, now time.Time) bool {
	sentAt := time.UnixMilli(timestamp)
	if sentAt.Before(started.Truncate(time.Millisecond)) {
		return false
	}
	return now.Sub(sentAt).Abs() <= timestampWindow
}
