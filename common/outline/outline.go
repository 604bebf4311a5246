// Package outline tells how much memory a JSON text takes once it is decoded, before it is. Texts of
// a legal size can take many times their length: an empty object has two bytes, and its fields more
// than a hundred.
package outline

import "github.com/corianderhook/corianderhook/common/jsonpart"

// valueBytes is what a value takes that is not an object: a number or the header of a string or list,
// in a list that is copied as it grows.
const valueBytes = 40

// textCopies is how many times the length of a text its strings take at most: an invalid byte becomes
// a character of three bytes, and the text itself is there as well.
const textCopies = 4

// Outline counts the parts of a JSON text. It need not be valid.
type Outline struct{ length, objects, values int }

// Of returns the outline of a text. It allocates nothing.
func Of(text []byte) Outline {
	o := Outline{length: len(text)}
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = jsonpart.EndOfString(text, i)
		case '{':
			o.objects++
		case '[', ',', ':':
			o.values++
		}
	}
	return o
}

// Objects returns the number of objects.
func (o Outline) Objects() int { return o.objects }

// Values returns the number of values that are not objects: those in lists, the fields of objects, and
// the lists themselves.
func (o Outline) Values() int { return o.values }

// Memory returns how many bytes the decoded text takes at most, together with the text itself, if an
// object takes the given number of bytes.
func (o Outline) Memory(objectBytes int) int64 {
	return int64(o.length)*textCopies + int64(o.objects)*int64(objectBytes) + int64(o.values)*valueBytes
}
