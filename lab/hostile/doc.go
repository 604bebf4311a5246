// Package hostile holds the tests of the system's processes against clients that nobody
// controls.
package hostile
