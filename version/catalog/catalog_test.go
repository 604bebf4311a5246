package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/version/catalog"
)

func TestLongestPrefixWins(t *testing.T) {
	i := is.New(t)
	c := catalog.New(3, []catalog.Queue{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "checks", Host: "a.example", Prefix: "/checks/"},
		{Name: "other", Host: "b.example", Prefix: "/checks/deep/"},
	}, nil, catalog.Limits{}, nil)
	q, rest, found := c.Find("a.example", "/checks/deep/1")
	i.True(found)
	i.Equal(q.Name, "checks")
	i.Equal(rest, "deep/1")
	q, _, _ = c.Find("a.example", "/else")
	i.Equal(q.Name, "all")
	_, _, found = c.Find("b.example", "/checks/1")
	i.True(!found)
	_, _, found = c.Find("c.example", "/")
	i.True(!found)
}
