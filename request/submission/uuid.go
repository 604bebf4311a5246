package submission

import (
	"time"

	"github.com/google/uuid"
)

// KeyCreatedAt returns the creation time of a UUIDv7 key, and false for other keys.
func KeyCreatedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}
