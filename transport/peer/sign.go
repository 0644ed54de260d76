// Package peer carries the messages between VMs: an HTTP server and client
// that authenticate each message with the fleet's secret.
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

// macHeader carries "TIMESTAMP MAC" in a request, with the time in milliseconds
// since 1970, and "MAC" in an answer. The name is short because it is sent 40
// times a second.
const macHeader = "Mac"

// macSize is the length to which codes are cut. RFC 2104 allows half of the
// hash; whole codes would take 1.3 KB a second more on a VM with many voters.
const macSize = sha256.Size / 2

// signer computes the codes that authenticate messages.
type signer struct {
	secret []byte
}

// request authenticates a request. The sender is named in the body.
func (s signer) request(path, receiver string, timestamp int64, body []byte) []byte {
	return s.mac([]byte("request"), []byte(path), []byte(receiver), strconv.AppendInt(nil, timestamp, 10), body)
}

// answer authenticates an answer. It covers the code of the request, so that
// the answer to an earlier request is not accepted.
func (s signer) answer(request []byte, sender string, body []byte) []byte {
	return s.mac([]byte("answer"), request, []byte(sender), body)
}

// mac covers each part with its length, so that no two lists of parts have the
// same code.
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

func formatStamp(timestamp int64, mac []byte) string {
	return strconv.FormatInt(timestamp, 10) + " " + formatMAC(mac)
}

func parseStamp(text string) (timestamp int64, mac []byte, err error) {
	stamp, code, _ := strings.Cut(text, " ")
	timestamp, err = strconv.ParseInt(stamp, 10, 64)
	if err != nil {
		return 0, nil, eris.New("malformed timestamp")
	}
	mac, err = parseMAC(code)
	return timestamp, mac, err
}

// withinWindow reports whether a timestamp is acceptable now. A message from
// before this process started is refused, because the process cannot know
// whether an earlier one has received it already.
func withinWindow(timestamp int64, started, now time.Time) bool {
	sent := time.UnixMilli(timestamp)
	if sent.Before(started.Truncate(time.Millisecond)) {
		return false
	}
	return now.Sub(sent).Abs() <= timestampWindow
}
