// Package jsonpart takes JSON texts apart without decoding or copying them, so that a reader decides
// how much of a text it decodes.
package jsonpart

import (
	"bytes"
	"iter"
)

// Part is a value in a valid JSON text.
type Part []byte

// Elements returns the elements of a list. There are none if the part is no list.
func (p Part) Elements() iter.Seq[Part] {
	return func(yield func(Part) bool) {
		rest, found := inside(p, '[')
		for found && len(rest) > 0 {
			var element Part
			element, rest = next(rest, ',')
			if !yield(element) {
				return
			}
		}
	}
}

// Members returns the names, which are strings of JSON, and the values of an object. There are none if
// the part is no object.
func (p Part) Members() iter.Seq2[Part, Part] {
	return func(yield func(name, value Part) bool) {
		rest, found := inside(p, '{')
		for found && len(rest) > 0 {
			var name, value Part
			name, rest = next(rest, ':')
			value, rest = next(rest, ',')
			if !yield(name, value) {
				return
			}
		}
	}
}

// IsNull reports whether the part is null.
func (p Part) IsNull() bool { return string(p) == "null" }

// IsList reports whether the part is a list.
func (p Part) IsList() bool { return len(p) > 0 && p[0] == '[' }

// IsObject reports whether the part is an object.
func (p Part) IsObject() bool { return len(p) > 0 && p[0] == '{' }

// inside returns what is between the brackets of a list or an object.
func inside(p Part, opening byte) (rest Part, found bool) {
	p = bytes.TrimSpace(p)
	if len(p) < 2 || p[0] != opening {
		return nil, false
	}
	return bytes.TrimSpace(p[1 : len(p)-1]), true
}

// next splits a text behind its first value.
func next(text Part, separator byte) (value, rest Part) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			i = EndOfString(text, i)
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		case c == separator && depth == 0:
			return bytes.TrimSpace(text[:i]), bytes.TrimSpace(text[i+1:])
		}
	}
	return bytes.TrimSpace(text), nil
}

// EndOfString returns the index of the quote that ends the string that begins at an index, or the
// length of a text that ends before.
func EndOfString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return min(i, len(text))
}
