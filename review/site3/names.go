package main

import (
	_ "embed"
	"encoding/json"
)

// namesText holds the names of the users' pages that the stand-ins speak.
//
//go:embed wire/names.json
var namesText []byte

var names = readNames()

func readNames() map[string]string {
	list := map[string]string{}
	if err := json.Unmarshal(namesText, &list); err != nil {
		panic(err) // The file is a part of the program.
	}
	return list
}

// name returns the name of something on the wire.
func name(of string) string {
	n, known := names[of]
	if !known {
		panic("no name for " + of)
	}
	return n
}
