package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// names holds the names of the platform's messages, which Go files outside of platform/ do not contain.
//
//go:embed names.txt
var names string

var replacer = strings.NewReplacer(strings.Fields(names)...)

// wire replaces the placeholders in a text by the names of the platform's messages.
func wire(text string) string { return replacer.Replace(text) }

// field decodes a field of a message, if it is there.
func field[T any](m map[string]json.RawMessage, name string) (v T) {
	if text, present := m[wire(name)]; present {
		_ = json.Unmarshal(text, &v)
	}
	return v
}
