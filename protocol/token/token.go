// Package token encodes session tokens. A client passes its token to another VM
// so that its reads there see its earlier writes.
//
// A token is a JSON body in base64url, a dot, and the HMAC-SHA256 of the body
// with the fleet secret in base64url. The body names the customer, so that a
// token of another customer is detected.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// MaxLength is the length limit of an accepted token in bytes.
const MaxLength = 8 << 10

// Verdict is the result of decoding a token.
type Verdict int

// Verdicts.
const (
	Valid         Verdict = iota
	Invalid               // malformed, or not signed with the fleet secret
	OtherCustomer         // token of another customer
)

// body is the signed part of a token.
type body struct {
	Customer string           `json:"c"`
	Points   map[string]point `json:"p,omitempty"`
}

// point is a term and a log position.
type point [2]uint64

var encoding = base64.RawURLEncoding

// Encode returns a token of the customer with the log point that reads of the
// session must cover in each group.
func Encode(secret []byte, customer string, t state.Token) string {
	b := body{Customer: customer, Points: make(map[string]point, len(t))}
	for group, p := range t {
		b.Points[group] = point{p.Term, p.Position}
	}
	raw, err := json.Marshal(b)
	if err != nil {
		panic("token body cannot be encoded: " + err.Error())
	}
	return encoding.EncodeToString(raw) + "." + encoding.EncodeToString(sign(secret, raw))
}

// Decode verifies a token and returns its log points by group. An empty text is
// a valid token of a session that has not written.
func Decode(secret []byte, customer, text string) (state.Token, Verdict) {
	if text == "" {
		return state.Token{}, Valid
	}
	if len(text) > MaxLength {
		return nil, Invalid
	}
	rawText, macText, found := strings.Cut(text, ".")
	if !found {
		return nil, Invalid
	}
	raw, err := encoding.DecodeString(rawText)
	if err != nil {
		return nil, Invalid
	}
	mac, err := encoding.DecodeString(macText)
	if err != nil || !hmac.Equal(mac, sign(secret, raw)) {
		return nil, Invalid
	}
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, Invalid
	}
	if b.Customer != customer {
		return nil, OtherCustomer
	}
	t := make(state.Token, len(b.Points))
	for group, p := range b.Points {
		t[group] = state.Point{Term: p[0], Position: p[1]}
	}
	return t, Valid
}

func sign(secret, raw []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(raw)
	return mac.Sum(nil)
}
