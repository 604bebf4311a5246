// Package access tells who may do what: the tokens of teams and operators as one
// version of the configuration has them. The configuration holds digests only;
// a token cannot be found from its digest, since tokens are random.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Role is what an operator may do. A higher role includes the lower ones.
type Role int

//go:generate stringer -type=Role -linecomment

const (
	// Nobody may do nothing.
	Nobody Role = iota // nobody
	// Read sees status, metrics and configuration.
	Read // read
	// Operate drains processes too.
	Operate // operate
	// Configure publishes configuration too.
	Configure // configure
)

// ParseRole reads the name of a role.
func ParseRole(text string) (Role, error) {
	for _, r := range []Role{Read, Operate, Configure} {
		if r.String() == text {
			return r, nil
		}
	}
	return Nobody, fmt.Errorf("must be %s, %s or %s", Read, Operate, Configure)
}

// Digest is the SHA-256 of a token.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a token.
func DigestOf(token string) Digest { return sha256.Sum256([]byte(token)) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigests reads digests in hexadecimal, separated by commas. Two of them
// let a token be replaced without a break.
func ParseDigests(text string) ([]Digest, error) {
	var list []Digest
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		raw, err := hex.DecodeString(part)
		if err != nil || len(raw) != sha256.Size {
			return nil, fmt.Errorf("must be %d hexadecimal digits, as \"corianderhook token\" prints them, or several with commas", 2*sha256.Size)
		}
		list = append(list, Digest(raw))
	}
	return list, nil
}

// ErrRefused is for a caller without the team's token. It does not say whether
// the team or a job exists.
var ErrRefused = errors.New("the token is missing or is not the team's")

// operator is an operator by name.
type operator struct {
	name    string
	role    Role
	digests []Digest
}

// Access is who may do what. It is read-only once it is in use.
type Access struct {
	teams     map[string][]Digest
	operators []operator
	// closed refuses teams without a token.
	closed bool
}

// New returns an access without teams and operators. A closed one refuses
// callers of teams that have no token.
func New(closed bool) *Access { return &Access{teams: map[string][]Digest{}, closed: closed} }

// AddTeam adds the tokens of a team.
func (a *Access) AddTeam(name string, digests []Digest) { a.teams[name] = digests }

// AddOperator adds an operator.
func (a *Access) AddOperator(name string, role Role, digests []Digest) {
	a.operators = append(a.operators, operator{name: name, role: role, digests: digests})
}

// Caller checks that a caller may act for a team.
func (a *Access) AuthorizeCaller(team, token string) error {
	digests := a.teams[team]
	if len(digests) == 0 && !a.closed {
		return nil
	}
	if !matches(digests, DigestOf(token)) {
		return ErrRefused
	}
	return nil
}

// Guarded reports whether any operator has a token.
func (a *Access) HasOperatorTokens() bool {
	for _, o := range a.operators {
		if len(o.digests) > 0 {
			return true
		}
	}
	return false
}

// Operator returns whose token it is. Every digest is compared, so that the
// time taken tells nothing.
func (a *Access) AuthenticateOperator(token string) (name string, role Role) {
	given := DigestOf(token)
	for _, o := range a.operators {
		if matches(o.digests, given) {
			name, role = o.name, o.role
		}
	}
	return name, role
}

// matches compares in constant time.
func matches(digests []Digest, given Digest) bool {
	found := 0
	for _, d := range digests {
		found |= subtle.ConstantTimeCompare(d[:], given[:])
	}
	return found == 1
}
