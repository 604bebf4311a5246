// Package access authenticates callers and operators by the tokens in one version
// of the configuration. The configuration holds only digests; a token cannot be
// recovered from its digest, since tokens are random.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Role is the set of permissions of an operator. A higher role includes the lower ones.
type Role int

//go:generate stringer -type=Role -linecomment

const (
	// Nobody has no permissions.
	Nobody Role = iota // nobody
	// Read permits reading status, metrics and configuration.
	Read // read
	// Operate also permits draining processes.
	Operate // operate
	// Configure also permits publishing configuration.
	Configure // configure
)

// ParseRole parses the name of a role. Nobody is not accepted.
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

// ParseDigests parses hexadecimal digests separated by commas. Several digests make
// it possible to replace a token without interruption.
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

// ErrRefused is returned for a caller without the team's token. It does not reveal
// whether the team or a job exists.
var ErrRefused = errors.New("the token is missing or is not the team's")

// operator holds the role and the token digests of an operator.
type operator struct {
	name    string
	role    Role
	digests []Digest
}

// Access holds the tokens and roles of teams and operators. It must not be changed
// once it is in use.
type Access struct {
	teams     map[string][]Digest
	operators []operator
	// requireToken rejects callers of teams that have no token.
	requireToken bool
}

// New returns an Access without teams and operators. With requireToken, callers of
// teams that have no token are rejected.
func New(requireToken bool) *Access {
	return &Access{teams: map[string][]Digest{}, requireToken: requireToken}
}

// AddTeam sets the token digests of a team.
func (a *Access) AddTeam(name string, digests []Digest) { a.teams[name] = digests }

// AddOperator adds an operator.
func (a *Access) AddOperator(name string, role Role, digests []Digest) {
	a.operators = append(a.operators, operator{name: name, role: role, digests: digests})
}

// AuthorizeCaller returns ErrRefused unless the token permits acting for the team.
func (a *Access) AuthorizeCaller(team, token string) error {
	digests := a.teams[team]
	if len(digests) == 0 && !a.requireToken {
		return nil
	}
	if !matches(digests, DigestOf(token)) {
		return ErrRefused
	}
	return nil
}

// HasOperatorTokens reports whether at least one operator has a token.
func (a *Access) HasOperatorTokens() bool {
	for _, o := range a.operators {
		if len(o.digests) > 0 {
			return true
		}
	}
	return false
}

// AuthenticateOperator returns the operator with the token, or the role Nobody. It
// always compares all digests, so that its duration reveals nothing.
func (a *Access) AuthenticateOperator(token string) (name string, role Role) {
	given := DigestOf(token)
	for _, o := range a.operators {
		if matches(o.digests, given) {
			name, role = o.name, o.role
		}
	}
	return name, role
}

// matches reports whether given is among the digests. It compares in constant time.
func matches(digests []Digest, given Digest) bool {
	found := 0
	for _, d := range digests {
		found |= subtle.ConstantTimeCompare(d[:], given[:])
	}
	return found == 1
}
