// Package excerpt shortens texts of clients for logs and answers.
package excerpt

import (
	"fmt"
	"strings"
)

// MaxBytes is the length up to which a text is shown whole.
const MaxBytes = 256

// Of returns a text, or the beginning of a long one with its length.
func Of(text string) string {
	if len(text) <= MaxBytes {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(text[:MaxBytes], ""), len(text))
}
