package access_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/version/access"
)

func digests(tokens ...string) []access.Digest {
	var list []access.Digest
	for _, t := range tokens {
		list = append(list, access.DigestOf(t))
	}
	return list
}

func TestCallerNeedsTokenOfItsTeam(t *testing.T) {
	for _, requireToken := range []bool{false, true} {
		a := access.New(requireToken)
		a.AddTeam("a", digests("old-a", "new-a"))
		a.AddTeam("b", digests("token-b"))
		a.AddTeam("open", nil)
		for _, tt := range []struct {
			team, token string
			allowed     bool
		}{
			{"a", "old-a", true},
			{"a", "new-a", true},
			{"a", "token-b", false},
			{"a", "", false},
			{"b", "token-b", true},
			{"b", "new-a", false},
			{"open", "", !requireToken},
			{"open", "token-b", !requireToken},
			{"absent", "token-b", !requireToken},
		} {
			t.Run(fmt.Sprintf("requireToken=%v/%s/%s", requireToken, tt.team, tt.token), func(t *testing.T) {
				is := is.New(t)
				is.Equal(a.AuthorizeCaller(tt.team, tt.token) == nil, tt.allowed)
			})
		}
	}
}

func TestOperatorIsFoundByToken(t *testing.T) {
	is := is.New(t)
	a := access.New(false)
	a.AddOperator("idle", access.Configure, nil)
	is.True(!a.HasOperatorTokens())
	a.AddOperator("ada", access.Configure, digests("token-ada"))
	a.AddOperator("bo", access.Read, digests("token-bo"))
	is.True(a.HasOperatorTokens())
	name, role := a.AuthenticateOperator("token-bo")
	is.Equal(name, "bo")
	is.Equal(role, access.Read)
	name, role = a.AuthenticateOperator("token-b")
	is.Equal(name, "")
	is.Equal(role, access.Nobody)
	_, role = a.AuthenticateOperator("")
	is.Equal(role, access.Nobody)
}

func TestInvalidDigestsAndRolesAreRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"abc", strings.Repeat("0", 63), strings.Repeat("g", 64), "secret"} {
		_, err := access.ParseDigests(text)
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), text)) // a token given by mistake is not shown
	}
	list, err := access.ParseDigests(access.DigestOf("x").String() + ", " + access.DigestOf("y").String())
	is.NoErr(err)
	is.Equal(list, digests("x", "y"))
	_, err = access.ParseRole("nobody")
	is.True(err != nil)
}

// BenchmarkAuthorizeCaller measures the token check that every request needs.
func BenchmarkAuthorizeCaller(b *testing.B) {
	a := access.New(true)
	for i := range 640 {
		a.AddTeam(fmt.Sprint("team", i), digests(fmt.Sprint("token", i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		if a.AuthorizeCaller("team7", "token7") != nil {
			b.Fatal("refused")
		}
	}
}
