package idempotency

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"time"

	"toucangw.example/core/member"
)

// Layout of a key before base64url encoding: version, incarnation, time of
// issue in nanoseconds since the start of the owner, sequence number, nonce,
// tag of the service, tag of the caller, host id, authentication code.
const (
	keyVersion = 1

	incarnationAt = 1
	issuedAt      = incarnationAt + 8
	sequenceAt    = issuedAt + 8
	nonceAt       = sequenceAt + 8
	serviceAt     = nonceAt + 8
	callerAt      = serviceAt + tagSize
	hostAt        = callerAt + tagSize

	tagSize = 8
	macSize = 16

	// MaxHostLen is the longest host id in bytes that a key can carry; it keeps
	// the text of a key under 200 bytes.
	MaxHostLen = 80
	// MaxKeyLen is the length in bytes of the longest key text.
	MaxKeyLen = (hostAt+MaxHostLen+macSize)*4/3 + 1
)

// keyEncoding decodes strictly. Together with the check in decodeKey, this gives
// each key exactly one valid text, so that no alternative encoding counts as
// another key.
var keyEncoding = base64.RawURLEncoding.Strict()

type tag [tagSize]byte

// token is the decoded content of a key.
type token struct {
	host        member.HostID
	incarnation uint64
	issued      time.Duration // since the start of the owner
	sequence    uint64        // unique within an incarnation
	nonce       uint64
	service     tag
	caller      tag
}

func (t token) payload() []byte {
	b := make([]byte, hostAt, hostAt+len(t.host)+macSize)
	b[0] = keyVersion
	binary.BigEndian.PutUint64(b[incarnationAt:], t.incarnation)
	binary.BigEndian.PutUint64(b[issuedAt:], uint64(t.issued))
	binary.BigEndian.PutUint64(b[sequenceAt:], t.sequence)
	binary.BigEndian.PutUint64(b[nonceAt:], t.nonce)
	copy(b[serviceAt:], t.service[:])
	copy(b[callerAt:], t.caller[:])
	return append(b, t.host...)
}

// decodeKey decodes the text of a key without checking its authenticity.
func decodeKey(key string) (t token, payload, mac []byte, ok bool) {
	if len(key) > MaxKeyLen {
		return token{}, nil, nil, false
	}
	raw, err := keyEncoding.DecodeString(key)
	if err != nil || len(raw) <= hostAt+macSize || raw[0] != keyVersion {
		return token{}, nil, nil, false
	}
	// The decoder skips line breaks, so the length must be compared.
	if keyEncoding.EncodedLen(len(raw)) != len(key) {
		return token{}, nil, nil, false
	}
	end := len(raw) - macSize
	t = token{
		host:        member.HostID(raw[hostAt:end]),
		incarnation: binary.BigEndian.Uint64(raw[incarnationAt:]),
		issued:      time.Duration(binary.BigEndian.Uint64(raw[issuedAt:])),
		sequence:    binary.BigEndian.Uint64(raw[sequenceAt:]),
		nonce:       binary.BigEndian.Uint64(raw[nonceAt:]),
		service:     tag(raw[serviceAt:callerAt]),
		caller:      tag(raw[callerAt:hostAt]),
	}
	return t, raw[:end], raw[end:], true
}

// ParseOwner reads the owner from a key without checking the authenticity of
// the key, which only the owner can do. It reports false for text that is not a
// key.
func ParseOwner(key string) (Owner, bool) {
	t, _, _, ok := decodeKey(key)
	if !ok {
		return Owner{}, false
	}
	return Owner{Host: t.host, Incarnation: t.incarnation}, true
}

// signer authenticates keys. It is not safe for concurrent use.
type signer struct {
	mac hash.Hash
}

func newSigner(secret []byte) *signer {
	return &signer{mac: hmac.New(sha256.New, secret)}
}

// Purposes of an authentication code. A code made for one purpose is not valid
// for another.
const (
	purposeKey     = 'k'
	purposeService = 's'
	purposeCaller  = 'c'
)

func (s *signer) sum(purpose byte, data []byte) []byte {
	s.mac.Reset()
	s.mac.Write([]byte{purpose})
	s.mac.Write(data)
	return s.mac.Sum(nil)
}

func (s *signer) tag(purpose byte, name string) tag {
	return tag(s.sum(purpose, []byte(name)))
}

func (s *signer) seal(t token) string {
	payload := t.payload()
	mac := s.sum(purposeKey, payload)[:macSize]
	return keyEncoding.EncodeToString(append(payload, mac...))
}

func (s *signer) open(key string) (token, bool) {
	t, payload, mac, ok := decodeKey(key)
	if !ok || !hmac.Equal(mac, s.sum(purposeKey, payload)[:macSize]) {
		return token{}, false
	}
	return t, true
}
